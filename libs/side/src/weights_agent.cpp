#include "weights_agent.h"

#include "ibislock/base/log.h"
#include "origin_call.h"

namespace ibislock::side
{

namespace
{

/// How long a call to the engine on the VM itself may take.
constexpr Millis StageTime{2000};

/// Until pieces that the engine did not take are staged again; an engine that restarts takes seconds.
constexpr Millis StagePause{250};

/// After an order without effect, when it is looked at anew.
constexpr Millis OrderTime{1500};

/// Before an order, entry VMs are told that the engine takes no more requests; a datagram takes some ms.
constexpr Millis AnnounceTime{150};

/// The part of the pieces that must be here for an overtaken version to be finished. With less, the rest takes as long
/// as the newer version.
constexpr double WorthFinishing = 0.25;

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
                           std::string domain, std::uint16_t peerPort, Millis pieceTime, SpreadMembers members)
    : m_engine(engine)
    , m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_members(std::move(members))
    , m_pace{.pieceTime = pieceTime}
    , m_exchange(loop, peerPort, pieceTime,
                 {
                     .holds = [this](const peer::PieceMessage &ask) { return holdsForPeer(ask); },
                     .read = [this](const peer::PieceMessage &ask,
                                    const std::function<void(peer::PieceMessage)> &done) { readForPeer(ask, done); },
                 })
    , m_retry(loop)
    , m_seeker(loop, client, m_exchange, m_self, m_domain, m_members)
    , m_fetcher(loop, client, m_exchange, m_self, m_pace, FetchOrder::Urgent,
                [this](int piece, std::string bytes) { stage(piece, std::move(bytes)); })
    , m_ahead(loop, client, m_exchange, m_self, m_domain, m_pace, m_members, [this] { m_exchange.answerWaiting(); })
{
}

asio::error_code WeightsAgent::open()
{
    return m_exchange.open(m_self);
}

void WeightsAgent::setGoal(const WeightsGoal &goal)
{
    if (m_nextGoal && goal.model == m_nextGoal->model && goal.version == m_nextGoal->version) {
        m_nextGoal = goal; // Times of namings are corrected now and then.
        return;
    }
    const bool changed = goal.model != m_goal.model || goal.version != m_goal.version;
    const bool overtaken = changed && goal.model == m_goal.model;
    if (overtaken && (isWhole() || isWorthFinishing())) {
        setNextGoal(goal);
        return;
    }
    m_goal = goal;
    m_nextGoal.reset();
    m_ahead.stop();
    m_carried = {};
    if (changed) {
        restart();
    }
}

void WeightsAgent::setNextGoal(const WeightsGoal &goal)
{
    m_nextGoal = goal;
    if (m_ahead.version() != goal.version) {
        logInfo(Part::Side, "A version is finished before a newer one is loaded.",
                {{"version", std::to_string(m_goal.version)},
                 {"newer", std::to_string(goal.version)},
                 {"staged", std::to_string(m_staged.size())}});
        m_ahead.begin(goal);
    }
}

void WeightsAgent::adoptNextGoal()
{
    if (m_nextGoal) {
        m_goal = *std::exchange(m_nextGoal, std::nullopt);
        m_carried = m_ahead.take();
        restart();
    }
}

bool WeightsAgent::isWhole() const
{
    return m_phase == WeightsPhase::Waiting || m_phase == WeightsPhase::Verifying
        || (m_phase == WeightsPhase::Ordered && !m_orderAccepted);
}

bool WeightsAgent::isWorthFinishing() const
{
    // A version that was overtaken twice is no longer at the origin.
    const bool overtakenBefore = m_nextGoal.has_value();
    return m_phase == WeightsPhase::Fetching && !overtakenBefore
        && static_cast<double>(m_staged.size()) >= WorthFinishing * static_cast<double>(m_digests.size());
}

bool WeightsAgent::isOutdated() const
{
    const bool loads = m_phase == WeightsPhase::Verifying || m_phase == WeightsPhase::Ordered;
    if (!m_nextGoal || loads) {
        return false;
    }
    // Either nothing may begin on the present goal once it were loaded, or the newer version is here before it.
    const Millis useless = oldestUnreached(m_nextGoal->named, m_goal.version) + m_nextGoal->versionTime;
    return steadyMillis() >= useless || (m_phase == WeightsPhase::Fetching && m_ahead.isWhole());
}

double WeightsAgent::turnPart() const
{
    return weights::turnOf(m_self, m_domain, m_members(m_goal.version));
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

WeightsProgress WeightsAgent::progress() const
{
    return {.version = m_goal.version,
            .phase = m_phase,
            .staged = m_staged.size(),
            .pieces = m_digests.size(),
            .ahead = m_ahead.held().pieces.size()};
}

WeightsCounts WeightsAgent::counts() const
{
    const FetchCounts &ahead = m_ahead.counts();
    FetchCounts fetched = m_fetcher.counts();
    fetched.fromOrigin += ahead.fromOrigin;
    fetched.fromPeers += ahead.fromPeers;
    fetched.corrupt += ahead.corrupt;
    return {.fetched = fetched, .rotten = m_rotten, .orders = m_orders};
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
    const bool ahead = m_ahead.isActive() && !m_ahead.isWhole();
    return m_phase == WeightsPhase::Manifest || m_phase == WeightsPhase::Fetching || ahead;
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
    m_unstaged.clear();
    m_fetcher.stop();
    m_seeker.stop();
    m_orderSent = false;
    m_orderAccepted = false;
    if (m_goal.version == 0) {
        enter(WeightsPhase::Idle);
    } else if (!m_carried.digests.empty()) {
        takeManifest(m_carried.digests);
    } else {
        enter(WeightsPhase::Manifest);
        m_seeker.begin(m_goal, [this](std::vector<Digest> digests) { takeManifest(std::move(digests)); });
    }
}

void WeightsAgent::carryUnstaged()
{
    if (!m_unstaged.empty()) {
        m_carried = {.digests = m_digests, .pieces = std::exchange(m_unstaged, {})};
    }
}

void WeightsAgent::step()
{
    const Millis now = steadyMillis();
    if (m_goal.version == 0 || !m_engine.report()) {
        return;
    }
    if (m_engine.report()->startedAt != m_engineStart) {
        m_engineStart = m_engine.report()->startedAt;
        if (m_nextGoal) {
            adoptNextGoal(); // There is nothing left to finish.
        } else {
            carryUnstaged();
            restart();
        }
    }
    m_ahead.step();
    if (isOutdated()) {
        adoptNextGoal();
    }
    switch (m_phase) {
    case WeightsPhase::Idle:
        if (!goalReached()) {
            restart(); // The engine has lost its weights.
        }
        break;
    case WeightsPhase::Manifest:
        m_seeker.step();
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

void WeightsAgent::takeManifest(std::vector<Digest> digests)
{
    m_digests = std::move(digests);
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
    while (m_carried.pieces.contains(m_readIndex)) {
        ++m_readIndex; // It is staged from memory, whatever the stage holds.
    }
    if (m_readIndex >= static_cast<int>(m_digests.size())) {
        endReading();
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

void WeightsAgent::endReading()
{
    const bool all = m_staged.size() == m_digests.size();
    if (goalReached()) {
        m_carried = {};
        enter(WeightsPhase::Idle);
        adoptNextGoal();
    } else if (!all) {
        enter(WeightsPhase::Fetching);
        m_fetcher.begin({.model = m_goal.model,
                         .version = m_goal.version,
                         .origin = m_goal.origin,
                         .digests = m_digests,
                         .plan = weights::planPieces(static_cast<int>(m_digests.size()), m_self, m_domain,
                                                     m_members(m_goal.version))});
        stageCarried();
        fetchMore();
    } else if (m_phase == WeightsPhase::Verifying) {
        order();
    } else {
        waitForTurn();
    }
    m_exchange.answerWaiting();
}

void WeightsAgent::stageCarried()
{
    for (auto &[piece, bytes] : std::exchange(m_carried, {}).pieces) {
        m_fetcher.claim(piece);
        stage(piece, std::move(bytes));
    }
}

void WeightsAgent::fetchMore()
{
    stageAgain();
    if (m_staged.size() < m_digests.size()) {
        m_fetcher.fetchMore(m_staged);
        return;
    }
    waitForTurn();
    step();
}

void WeightsAgent::stage(int piece, std::string bytes)
{
    const auto kept = std::make_shared<std::string>(std::move(bytes));
    m_engine.call(platform::stagePutRequest(m_goal.model, piece, *kept), StageTime,
                  [this, round = m_round, piece, kept](int status, const std::string &) {
                      if (round != m_round) {
                          return;
                      }
                      if (!succeeded(status)) {
                          logWarning(Part::Side, "A piece could not be staged; it is kept in memory.",
                                     {{"piece", std::to_string(piece)}, {"status", std::to_string(status)}});
                          m_unstaged[piece] = std::move(*kept);
                          m_nextStaging = steadyMillis() + StagePause;
                          m_exchange.answerWaiting();
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

void WeightsAgent::stageAgain()
{
    if (m_unstaged.empty() || steadyMillis() < m_nextStaging) {
        return;
    }
    for (auto &[piece, bytes] : std::exchange(m_unstaged, {})) {
        stage(piece, std::move(bytes));
    }
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
    const bool manifest = ask.index == peer::ManifestIndex;
    if (ask.model == m_goal.model && m_ahead.isActive() && ask.version == m_ahead.version()) {
        return manifest ? !m_ahead.held().digests.empty() : m_ahead.held().pieces.contains(ask.index);
    }
    if (ask.model != m_goal.model || ask.version != m_goal.version) {
        // An older version is not fetched any more; a newer one may be named to this process in a moment.
        return ask.model == m_goal.model && ask.version < m_goal.version ? std::nullopt : std::optional<bool>(false);
    }
    return manifest ? !m_digests.empty() : m_staged.contains(ask.index) || m_unstaged.contains(ask.index);
}

void WeightsAgent::readForPeer(const peer::PieceMessage &ask, const std::function<void(peer::PieceMessage)> &done)
{
    const bool ahead = m_ahead.isActive() && ask.version == m_ahead.version();
    peer::PieceMessage answer = ask;
    if (ask.index == peer::ManifestIndex) {
        answer.content = peer::PieceContent::Manifest;
        answer.digests = ahead ? m_ahead.held().digests : m_digests;
        done(std::move(answer));
        return;
    }
    const auto &inMemory = ahead ? m_ahead.held().pieces : m_unstaged;
    if (const auto it = inMemory.find(ask.index); it != inMemory.end()) {
        answer.content = peer::PieceContent::Bytes;
        answer.bytes = it->second;
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
