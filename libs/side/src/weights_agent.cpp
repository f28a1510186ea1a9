#include "weights_agent.h"

#include "ibislock/base/log.h"

namespace ibislock::side
{

namespace
{

/// Pieces asked for at once: all of a version. Asks are small, and a VM answers each as soon as it holds the piece.
constexpr std::size_t FetchedAtOnce = 64;

/// Pieces that this VM has asked for at once. Most wait at their senders, of which all must have something to send.
constexpr int TransfersAtOnce = 6;

/// A transfer that takes longer went over a narrow link: a piece takes some 40 ms, and few wait in front of it.
constexpr Millis SlowTransfer{500};

/// How long a VM that is on its way to get a piece is given: most of a copy from the origin.
constexpr Millis OwnerWait{3500};

/// How long a VM that is not on its way to get a piece is given to say whether it holds it.
constexpr Millis AskAtOnce{1};

/// How long a VM that is on its way to get the manifest is given.
constexpr Millis ManifestWait{1000};

/// How long a VM that holds a piece is given; a squeezed link carries a piece in 300 ms.
constexpr Millis HolderTime{1500};

/// How much longer an ask lasts than the asked VM may wait.
constexpr Millis AnswerMargin{700};

/// How long the origin may take for a piece; its link is shared by all at once.
constexpr Millis OriginTime{4000};

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
    , m_random(systemRandom())
    , m_pieceTime(pieceTime)
    , m_nextTransfer(loop)
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

const WeightsCounts &WeightsAgent::counts() const
{
    return m_counts;
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
    m_fetching.clear();
    m_notBefore.clear();
    m_originQueue.clear();
    m_transfers.clear();
    m_transferring = 0;
    m_transferringFrom.clear();
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
    callOrigin(platform::manifestRequest(m_goal.model, m_goal.version),
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
            m_plan = weights::planPieces(static_cast<int>(m_digests.size()), m_self, m_domain, m_members());
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
                          ++m_counts.corrupt;
                          logWarning(Part::Side, "A staged piece does not match its digest.",
                                     {{"version", std::to_string(m_goal.version)}, {"piece", std::to_string(piece)}});
                      }
                      readNext(round);
                  });
}

void WeightsAgent::fetchMore()
{
    if (m_staged.size() == m_digests.size()) {
        waitForTurn();
        step();
        return;
    }
    const Millis now = steadyMillis();
    for (const weights::PiecePlan &plan : m_plan) {
        if (m_fetching.size() >= FetchedAtOnce) {
            return;
        }
        const auto it = m_notBefore.find(plan.piece);
        const bool tooSoon = it != m_notBefore.end() && now < it->second;
        if (!m_staged.contains(plan.piece) && !m_fetching.contains(plan.piece) && !tooSoon) {
            m_fetching.insert(plan.piece);
            fetchFrom(plan.piece, plan.sources, 0);
        }
    }
}

void WeightsAgent::fetchFrom(int piece, std::vector<weights::PieceSource> sources, std::size_t at)
{
    if (at >= sources.size() || sources[at].vm.empty()) {
        m_originQueue.push_back(piece);
        fetchNextFromOrigin();
        return;
    }
    const Millis wait = sources[at].waits ? OwnerWait : AskAtOnce;
    const std::string vm = sources[at].vm;
    m_exchange.ask(vm,
                   {.model = m_goal.model,
                    .version = m_goal.version,
                    .index = piece,
                    .waitMs = static_cast<std::uint32_t>(wait.count())},
                   wait + AnswerMargin,
                   [this, round = m_round, piece, sources = std::move(sources),
                    at](const std::optional<peer::PieceMessage> &answer) mutable {
                       if (round != m_round) {
                           return;
                       }
                       if (answer && answer->content == peer::PieceContent::Ready) {
                           transfer(piece, std::move(sources), at);
                       } else {
                           fetchFrom(piece, std::move(sources), at + 1);
                       }
                   });
}

void WeightsAgent::transfer(int piece, std::vector<weights::PieceSource> sources, std::size_t at)
{
    m_transfers.push_back({.piece = piece, .sources = std::move(sources), .at = at});
    transferNext();
}

WeightsAgent::Transfer WeightsAgent::takeTransfer()
{
    // All VMs learn of a piece at the same time: drawn at random, they don't all turn to its holder at once. A VM that
    // sends to us already is taken last.
    std::size_t best = m_random() % m_transfers.size();
    for (std::size_t n = 0; n < m_transfers.size(); ++n) {
        const std::size_t index = (best + n) % m_transfers.size();
        const Transfer &candidate = m_transfers[index];
        if (!m_transferringFrom.contains(vmOf(candidate))) {
            best = index;
            break;
        }
    }
    Transfer out = std::move(m_transfers[best]);
    m_transfers.erase(m_transfers.begin() + static_cast<std::ptrdiff_t>(best));
    return out;
}

void WeightsAgent::transferNext()
{
    const Millis now = steadyMillis();
    while (!m_transfers.empty() && m_transferring < m_window && now >= m_nextTransferAt) {
        m_nextTransferAt = std::max(m_nextTransferAt + m_pieceTime, now);
        beginTransfer(takeTransfer());
    }
    if (!m_transfers.empty() && now < m_nextTransferAt) {
        m_nextTransfer.expires_after(m_nextTransferAt - now);
        m_nextTransfer.async_wait([this](const asio::error_code &ec) {
            if (!ec) {
                transferNext();
            }
        });
    }
}

void WeightsAgent::beginTransfer(Transfer next)
{
    const Millis now = steadyMillis();
    ++m_transferring;
    const std::string vm = vmOf(next);
    m_transferringFrom.insert(vm);
    const peer::PieceMessage ask{.model = m_goal.model, .version = m_goal.version, .index = next.piece};
    m_exchange.ask(
        vm, ask, HolderTime,
        [this, round = m_round, now, next = std::move(next)](const std::optional<peer::PieceMessage> &answer) {
            if (round == m_round) {
                takeTransferred(next, answer, steadyMillis() - now);
            }
        });
}

void WeightsAgent::takeTransferred(Transfer done, const std::optional<peer::PieceMessage> &answer, Millis took)
{
    --m_transferring;
    m_transferringFrom.erase(vmOf(done));
    // On a link that is narrower than it should be, pieces must not queue up in front of requests.
    m_window = took > SlowTransfer ? 1 : std::min(m_window + 1, TransfersAtOnce);
    const bool good = answer && answer->content == peer::PieceContent::Bytes
        && sha256(answer->bytes) == m_digests[static_cast<std::size_t>(done.piece)];
    if (good) {
        takePiece(done.piece, answer->bytes, false);
    } else if (answer && answer->content == peer::PieceContent::Elsewhere && answer->vm != m_self) {
        done.via = answer->vm;
        m_nextTransferAt -= m_pieceTime; // Nothing came over the link.
        m_transfers.push_back(std::move(done));
    } else if (!done.via.empty()) {
        done.via.clear(); // The source itself still has the piece.
        m_transfers.push_back(std::move(done));
    } else {
        fetchFrom(done.piece, std::move(done.sources), done.at + 1);
    }
    transferNext();
}

std::string WeightsAgent::vmOf(const Transfer &transfer)
{
    return transfer.via.empty() ? transfer.sources[transfer.at].vm : transfer.via;
}

void WeightsAgent::fetchNextFromOrigin()
{
    if (m_originBusy || m_originQueue.empty()) {
        return;
    }
    const int piece = m_originQueue.front();
    m_originQueue.pop_front();
    m_originBusy = true;
    fetchFromOrigin(piece);
}

void WeightsAgent::fetchFromOrigin(int piece)
{
    callOrigin(platform::pieceRequest(m_goal.model, m_goal.version, piece),
               [this, round = m_round, piece](int status, std::string body) {
                   m_originBusy = false;
                   if (round != m_round) {
                       fetchNextFromOrigin();
                       return;
                   }
                   if (status == OkStatus && sha256(body) == m_digests[static_cast<std::size_t>(piece)]) {
                       takePiece(piece, std::move(body), true);
                       fetchNextFromOrigin();
                       return;
                   }
                   m_counts.corrupt += status == OkStatus ? 1 : 0;
                   logInfo(Part::Side, "The origin gave no good piece.",
                           {{"version", std::to_string(m_goal.version)},
                            {"piece", std::to_string(piece)},
                            {"status", std::to_string(status)}});
                   retryLater(piece);
                   fetchNextFromOrigin();
               });
}

void WeightsAgent::retryLater(int piece)
{
    m_fetching.erase(piece);
    m_notBefore[piece] = steadyMillis() + jittered(m_random, RetryTime);
}

void WeightsAgent::takePiece(int piece, std::string bytes, bool fromOrigin)
{
    ++(fromOrigin ? m_counts.fromOrigin : m_counts.fromPeers);
    stage(piece, std::move(bytes));
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
                          retryLater(piece);
                          return;
                      }
                      m_fetching.erase(piece);
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
        ++m_counts.orders;
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
                          adoptNextGoal(); // An accepted order loads what was staged then, whatever is staged later.
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

void WeightsAgent::callOrigin(const platform::ApiRequest &request,
                              std::function<void(int status, std::string body)> done)
{
    const auto endpoint = platform::endpointFrom(m_goal.origin);
    if (!endpoint) {
        asio::post(m_loop, [done = std::move(done)] { done(0, ""); });
        return;
    }
    http::RequestHead head = request.head;
    head.headers.add("Host", endpoint->ip);
    m_client.call(endpoint->ip, endpoint->port, writeRequest(head, request.body),
                  {.connectTime = Millis{1000}, .timeout = OriginTime},
                  [done = std::move(done)](net::ExchangeEnd end, const http::ResponseHead &answer, std::string body) {
                      done(end == net::ExchangeEnd::Complete ? answer.status : 0, std::move(body));
                  });
}

} // namespace ibislock::side
