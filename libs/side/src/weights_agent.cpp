#include "weights_agent.h"

#include "ibislock/base/log.h"
#include "origin_call.h"

namespace ibislock::side
{

namespace
{

/// How long a VM that is on its way to get the manifest is given.
constexpr Millis ManifestWait{1000};

/// How much longer an ask lasts than the asked VM may wait.
constexpr Millis AnswerMargin{700};

/// Until a piece or manifest that no source gave is tried again.
constexpr Millis RetryTime{250};

/// How long a call to the engine on the VM itself may take.
constexpr Millis StageTime{2000};

/// After an order without effect, when it is looked at anew.
constexpr Millis OrderTime{1500};

/// Before an order, entry VMs are told that the engine takes no more requests; a datagram takes some ms.
constexpr Millis AnnounceTime{150};

constexpr int OkStatus = 200;
constexpr int CreatedStatus = 201;
constexpr int AcceptedStatus = 202;
constexpr int NoContentStatus = 204;

bool succeeded(int status)
{
    return status == OkStatus || status == CreatedStatus || status == AcceptedStatus || status == NoContentStatus;
}

} // namespace

WeightsAgent::WeightsAgent(asio::io_context &loop, net::HttpClient &client, EngineWatch &engine, std::string self,
                           std::string domain, std::uint16_t peerPort, Millis pieceTime,
                           std::function<std::vector<weights::SpreadMember>()> members)
    : m_loop(loop)
    , m_client(client)
    , m_engine(engine)
    , m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_members(std::move(members))
    , m_exchange(loop, peerPort, pieceTime,
                 {
                     .holds = [this](const peer::PieceMessage &ask) { return holdsForPeer(ask); },
                     .read = [this](const peer::PieceMessage &ask,
                                    const std::function<void(peer::PieceMessage)> &done) { readForPeer(ask, done); },
                 })
    , m_retry(loop)
    , m_fetcher(loop, client, m_exchange, m_self, pieceTime,
                [this](int piece, std::string bytes) { stage(piece, std::move(bytes)); })
{
}

asio::error_code WeightsAgent::open()
{
    return m_exchange.open(m_self);
}

void WeightsAgent::setGoal(const WeightsGoal &goal)
{
    const bool changed = goal.model != m_goal.model || goal.version != m_goal.version;
    const bool whole = m_phase == WeightsPhase::Waiting || m_phase == WeightsPhase::Verifying
        || (m_phase == WeightsPhase::Ordered && !m_orderAccepted);
    if (changed && whole && goal.model == m_goal.model) {
        // What is whole is loaded first: requests may have to begin on it before the next version is here.
        m_nextGoal = goal;
        return;
    }
    m_goal = goal;
    if (changed) {
        restart();
    }
}

void WeightsAgent::adoptNextGoal()
{
    if (m_nextGoal) {
        m_goal = *std::exchange(m_nextGoal, std::nullopt);
        restart();
    }
}

double WeightsAgent::turnPart() const
{
    return weights::turnOf(m_self, m_domain, m_members());
}

void WeightsAgent::waitForTurn()
{
    enter(WeightsPhase::Waiting);
    const Millis now = steadyMillis();
    const std::int64_t loaded = m_engine.loadedVersion();
    const Millis deadline = oldestUnreached(m_goal.named, loaded) + m_goal.versionTime;
    const Millis left = loaded == 0 ? Millis{0} : std::max(Millis{0}, deadline - now);
    m_turnAt = now + left * static_cast<std::int64_t>(turnPart() * 1000) / 1000;
}

WeightsPhase WeightsAgent::phase() const
{
    return m_phase;
}

WeightsCounts WeightsAgent::counts() const
{
    return {.fetched = m_fetcher.counts(), .rotten = m_rotten, .orders = m_orders};
}

std::uint64_t WeightsAgent::bytesServed() const
{
    return m_exchange.bytesServed();
}

bool WeightsAgent::isLoading() const
{
    return m_phase == WeightsPhase::Verifying || m_phase == WeightsPhase::Ordered;
}

std::optional<Millis> WeightsAgent::loadsIn() const
{
    if (m_phase != WeightsPhase::Waiting || goalReached()) {
        return std::nullopt;
    }
    return std::max(Millis{0}, m_turnAt - steadyMillis());
}

bool WeightsAgent::needsMembers() const
{
    return m_phase == WeightsPhase::Manifest || m_phase == WeightsPhase::Fetching;
}

bool WeightsAgent::goalReached() const
{
    return m_engine.loadedVersion() >= m_goal.version;
}

void WeightsAgent::enter(WeightsPhase phase)
{
    if (m_phase != phase) {
        logInfo(Part::Side, "The weights moved on.",
                {{"version", std::to_string(m_goal.version)},
                 {"phase", std::string(nameOf(WeightsPhaseNames, phase))},
                 {"staged", std::to_string(m_staged.size())}});
    }
    m_phase = phase;
    m_enteredAt = steadyMillis();
}

void WeightsAgent::restart()
{
    ++m_round;
    m_digests.clear();
    m_staged.clear();
    m_fetcher.stop();
    m_manifestAsked = false;
    m_orderSent = false;
    m_orderAccepted = false;
    enter(m_goal.version > 0 ? WeightsPhase::Manifest : WeightsPhase::Idle);
}

void WeightsAgent::step()
{
    const Millis now = steadyMillis();
    if (m_goal.version == 0 || !m_engine.report()) {
        return;
    }
    if (m_engine.report()->startedAt != m_engineStart) {
        m_engineStart = m_engine.report()->startedAt;
        restart();
    }
    switch (m_phase) {
    case WeightsPhase::Idle:
        if (!goalReached()) {
            restart(); // The engine has lost its weights.
        }
        break;
    case WeightsPhase::Manifest:
        if (!m_manifestAsked && now >= m_nextManifestAsk) {
            askManifest();
        }
        break;
    case WeightsPhase::Reading:
        break;
    case WeightsPhase::Fetching:
        fetchMore();
        break;
    case WeightsPhase::Waiting:
        if (goalReached()) {
            enter(WeightsPhase::Idle);
            adoptNextGoal();
        } else if (now >= m_turnAt && !m_engine.report()->ordered) {
            enter(WeightsPhase::Verifying);
            readStage();
        }
        break;
    case WeightsPhase::Verifying:
        break;
    case WeightsPhase::Ordered:
        if (goalReached()) {
            enter(WeightsPhase::Idle);
            adoptNextGoal();
        } else if (!m_orderSent && !m_engine.report()->ordered && now > m_enteredAt + OrderTime) {
            enter(WeightsPhase::Waiting); // The order had no effect; all is verified again before the next.
            adoptNextGoal();
        }
        break;
    }
}

void WeightsAgent::askManifest()
{
    m_manifestAsked = true;
    m_nextManifestAsk = steadyMillis() + RetryTime;
    const auto sources = weights::pieceSources(peer::ManifestIndex, m_self, m_domain, m_members());
    const weights::PieceSource &first = sources.front();
    if (first.vm.empty()) {
        askOriginForManifest();
        return;
    }
    const Millis wait = first.waits ? ManifestWait : Millis{0};
    m_exchange.ask(first.vm,
                   {.model = m_goal.model,
                    .version = m_goal.version,
                    .index = peer::ManifestIndex,
                    .waitMs = static_cast<std::uint32_t>(wait.count())},
                   wait + AnswerMargin, [this, round = m_round](const std::optional<peer::PieceMessage> &answer) {
                       if (round != m_round) {
                           return;
                       }
                       if (answer && answer->content == peer::PieceContent::Manifest && !answer->digests.empty()) {
                           takeManifest(answer->digests);
                       } else {
                           askOriginForManifest();
                       }
                   });
}

void WeightsAgent::askOriginForManifest()
{
    callOrigin(m_loop, m_client, m_goal.origin, platform::manifestRequest(m_goal.model, m_goal.version),
               [this, round = m_round](int status, const std::string &body) {
                   if (round != m_round) {
                       return;
                   }
                   const auto manifest = status == OkStatus
                       ? platform::decodeManifest(body)
                       : Result<platform::WeightsManifest>(
                           failure(ErrorCode::Unavailable, "status " + std::to_string(status)));
                   if (manifest && manifest->version == m_goal.version && manifest->model == m_goal.model) {
                       takeManifest(manifest->digests);
                       return;
                   }
                   logWarning(Part::Side, "The origin gave no manifest.",
                              {{"version", std::to_string(m_goal.version)},
                               {"cause", manifest ? "another version" : manifest.error().message}});
                   m_manifestAsked = false;
                   m_nextManifestAsk = steadyMillis() + RetryTime;
               });
}

void WeightsAgent::takeManifest(const std::vector<Digest> &digests)
{
    m_digests = digests;
    enter(WeightsPhase::Reading);
    m_exchange.answerWaiting();
    readStage();
}

void WeightsAgent::readStage()
{
    m_readIndex = 0;
    readNext(m_round);
}

void WeightsAgent::readNext(std::uint64_t round)
{
    if (round != m_round || (m_phase != WeightsPhase::Reading && m_phase != WeightsPhase::Verifying)) {
        return;
    }
    if (m_readIndex >= static_cast<int>(m_digests.size())) {
        const bool all = m_staged.size() == m_digests.size();
        if (goalReached()) {
            enter(WeightsPhase::Idle);
            adoptNextGoal();
        } else if (!all) {
            enter(WeightsPhase::Fetching);
            m_fetcher.begin(
                {.model = m_goal.model,
                 .version = m_goal.version,
                 .origin = m_goal.origin,
                 .digests = m_digests,
                 .plan = weights::planPieces(static_cast<int>(m_digests.size()), m_self, m_domain, m_members())});
            fetchMore();
        } else if (m_phase == WeightsPhase::Verifying) {
            order();
        } else {
            waitForTurn();
        }
        m_exchange.answerWaiting();
        return;
    }
    const int piece = m_readIndex++;
    m_engine.call(platform::stageGetRequest(m_goal.model, piece), StageTime,
                  [this, round, piece](int status, const std::string &body) {
                      if (round != m_round) {
                          return;
                      }
                      if (status == OkStatus && sha256(body) == m_digests[static_cast<std::size_t>(piece)]) {
                          m_staged.insert(piece);
                      } else if (m_staged.erase(piece) > 0) {
                          ++m_rotten;
                          logWarning(Part::Side, "A staged piece does not match its digest.",
                                     {{"version", std::to_string(m_goal.version)}, {"piece", std::to_string(piece)}});
                      }
                      readNext(round);
                  });
}

void WeightsAgent::fetchMore()
{
    if (m_staged.size() < m_digests.size()) {
        m_fetcher.fetchMore(m_staged);
        return;
    }
    waitForTurn();
    step();
}

void WeightsAgent::stage(int piece, std::string bytes)
{
    m_engine.call(platform::stagePutRequest(m_goal.model, piece, std::move(bytes)), StageTime,
                  [this, round = m_round, piece](int status, const std::string &) {
                      if (round != m_round) {
                          return;
                      }
                      if (!succeeded(status)) {
                          logWarning(Part::Side, "A piece could not be staged.",
                                     {{"piece", std::to_string(piece)}, {"status", std::to_string(status)}});
                          m_fetcher.settle(piece, false);
                          return;
                      }
                      m_fetcher.settle(piece, true);
                      m_staged.insert(piece);
                      m_exchange.answerWaiting();
                      if (m_phase == WeightsPhase::Fetching) {
                          fetchMore();
                      }
                  });
}

void WeightsAgent::order()
{
    enter(WeightsPhase::Ordered);
    m_orderSent = true;
    m_orderAccepted = false;
    m_retry.expires_after(AnnounceTime);
    m_retry.async_wait([this, round = m_round](const asio::error_code &ec) {
        if (ec || round != m_round || !m_engine.report()) {
            m_orderSent = false;
            return;
        }
        ++m_orders;
        m_engine.call(platform::loadRequest(m_goal.model, m_goal.version, m_engine.report()->orders), StageTime,
                      [this, round](int status, const std::string &body) {
                          if (round != m_round) {
                              return;
                          }
                          m_orderSent = false;
                          m_enteredAt = steadyMillis();
                          m_orderAccepted = succeeded(status);
                          logInfo(Part::Side, "The engine was ordered to load.",
                                  {{"version", std::to_string(m_goal.version)},
                                   {"status", std::to_string(status)},
                                   {"answer", succeeded(status) ? "" : body.substr(0, 100)}});
                          if (status != 0) {
                              // An accepted order loads what was staged then, whatever is staged later. One without an
                              // answer may be accepted yet: nothing is staged before the report shows what it did.
                              adoptNextGoal();
                          }
                      });
    });
}

std::optional<bool> WeightsAgent::holdsForPeer(const peer::PieceMessage &ask) const
{
    if (ask.model != m_goal.model || ask.version != m_goal.version) {
        // An older version is not fetched any more; a newer one may be named to this process in a moment.
        return ask.model == m_goal.model && ask.version < m_goal.version ? std::nullopt : std::optional<bool>(false);
    }
    if (ask.index == peer::ManifestIndex) {
        return !m_digests.empty();
    }
    return m_staged.contains(ask.index);
}

void WeightsAgent::readForPeer(const peer::PieceMessage &ask, const std::function<void(peer::PieceMessage)> &done)
{
    peer::PieceMessage answer = ask;
    if (ask.index == peer::ManifestIndex) {
        answer.content = peer::PieceContent::Manifest;
        answer.digests = m_digests;
        done(std::move(answer));
        return;
    }
    m_engine.call(platform::stageGetRequest(ask.model, ask.index), StageTime,
                  [this, round = m_round, answer, done](int status, std::string body) mutable {
                      const bool good = status == OkStatus && round == m_round
                          && sha256(body) == m_digests[static_cast<std::size_t>(answer.index)];
                      if (!good && round == m_round) {
                          m_staged.erase(answer.index);
                      }
                      answer.content = good ? peer::PieceContent::Bytes : peer::PieceContent::Missing;
                      answer.bytes = good ? std::move(body) : std::string();
                      done(std::move(answer));
                  });
}

} // namespace ibislock::side
