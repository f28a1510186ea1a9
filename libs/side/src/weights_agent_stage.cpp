// The part of the agent that stages and verifies pieces, orders the load, and serves pieces to other VMs.

#include "ibislock/base/log.h"
#include "weights_agent.h"

namespace ibislock::side
{

namespace
{

/// Timeout of a request to the engine, which runs on the same VM.
constexpr Millis StageTime{2000};

/// Delay before staging is retried for pieces that the engine did not accept; a restart of the engine takes seconds.
constexpr Millis StagePause{250};

/// Delay between the report to entry VMs that the engine accepts no more requests and the order to load; a datagram
/// takes a few milliseconds.
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

void WeightsAgent::applyManifest(std::vector<Digest> digests)
{
    m_digests = std::move(digests);
    enterPhase(WeightsPhase::Reading);
    m_exchange.completePending();
    readStage();
}

void WeightsAgent::readStage()
{
    m_nextReadIndex = 0;
    readNextPiece(m_generation);
}

void WeightsAgent::readNextPiece(std::uint64_t generation)
{
    if (generation != m_generation || (m_phase != WeightsPhase::Reading && m_phase != WeightsPhase::Verifying)) {
        return;
    }
    while (m_prefetched.pieces.contains(m_nextReadIndex)) {
        ++m_nextReadIndex; // It is staged from memory, regardless of the stage's content.
    }
    if (m_nextReadIndex >= static_cast<int>(m_digests.size())) {
        finishReading();
        return;
    }
    const int piece = m_nextReadIndex++;
    m_engine.call(platform::makeStageGetRequest(m_desired.model, piece), StageTime,
                  [this, generation, piece, requestedAt = bootMillis()](int status, const std::string &body) {
                      if (generation != m_generation) {
                          return;
                      }
                      if (status == OkStatus && sha256(body) == m_digests[static_cast<std::size_t>(piece)]) {
                          m_staged.insert(piece);
                          recordMatch(m_checks, piece, requestedAt);
                      } else {
                          recordMismatch(piece, status, "verification");
                      }
                      readNextPiece(generation);
                  });
}

void WeightsAgent::recordMismatch(int piece, int status, const std::string &reader)
{
    discardCheck(m_checks, piece);
    if (m_staged.erase(piece) == 0) {
        return;
    }
    ++m_corruptStaged;
    logWarning(LogComponent::Side, "A staged piece doesn't match its digest.",
               {{"version", std::to_string(m_desired.version)},
                {"piece", std::to_string(piece)},
                {"status", std::to_string(status)},
                {"reader", reader},
                {"phase", std::string(nameOf(WeightsPhaseNames, m_phase))}});
}

void WeightsAgent::finishReading()
{
    const bool all = m_staged.size() == m_digests.size();
    if (isDesiredLoaded()) {
        m_prefetched = {};
        enterPhase(WeightsPhase::Idle);
        adoptNextDesired();
    } else if (!all) {
        enterPhase(WeightsPhase::Fetching);
        m_pieceFetcher.begin({.model = m_desired.model,
                              .version = m_desired.version,
                              .origin = m_desired.origin,
                              .digests = m_digests,
                              .plan = weights::planPieces(static_cast<int>(m_digests.size()), m_self, m_domain,
                                                          m_members(m_desired.version)),
                              .originPieceTime = m_desired.originPieceTime});
        stagePrefetched();
        fetchMore();
    } else if (m_phase == WeightsPhase::Verifying) {
        orderLoad();
    } else {
        scheduleLoad();
    }
    m_exchange.completePending();
}

void WeightsAgent::stagePrefetched()
{
    for (auto &[piece, bytes] : std::exchange(m_prefetched, {}).pieces) {
        m_pieceFetcher.markStaging(piece);
        stage(piece, std::move(bytes));
    }
}

void WeightsAgent::fetchMore()
{
    retryStaging();
    if (m_staged.size() < m_digests.size()) {
        m_pieceFetcher.fetchMore(m_staged);
        return;
    }
    scheduleLoad();
    step();
}

void WeightsAgent::stage(int piece, std::string bytes)
{
    const auto kept = std::make_shared<std::string>(std::move(bytes));
    m_engine.call(
        platform::makeStagePutRequest(m_desired.model, piece, *kept), StageTime,
        [this, generation = m_generation, version = m_desired.version, piece, kept](int status, const std::string &) {
            if (!succeeded(status)) {
                recordFailedWrite(version, piece, status);
            }
            if (generation != m_generation) {
                return;
            }
            if (!succeeded(status)) {
                m_unstaged[piece] = std::move(*kept);
                m_stageRetryAt = steadyMillis() + StagePause;
                m_exchange.completePending();
                return;
            }
            m_pieceFetcher.recordStaging(piece, true);
            m_staged.insert(piece);
            m_exchange.completePending();
            if (m_phase == WeightsPhase::Fetching) {
                fetchMore();
            }
        });
}

void WeightsAgent::recordFailedWrite(std::int64_t version, int piece, int status)
{
    m_unansweredWrites += status == 0 ? 1 : 0;
    logWarning(LogComponent::Side, "Staging a piece failed.",
               {{"version", std::to_string(version)},
                {"piece", std::to_string(piece)},
                {"status", std::to_string(status)},
                {"superseded", version == m_desired.version ? "0" : "1"}});
}

void WeightsAgent::retryStaging()
{
    if (m_unstaged.empty() || steadyMillis() < m_stageRetryAt) {
        return;
    }
    for (auto &[piece, bytes] : std::exchange(m_unstaged, {})) {
        stage(piece, std::move(bytes));
    }
}

void WeightsAgent::orderLoad()
{
    enterPhase(WeightsPhase::Ordered);
    m_orderSent = true;
    m_orderAccepted = false;
    m_orderTimer.start(AnnounceTime, [this] { sendOrder(); });
}

void WeightsAgent::sendOrder()
{
    if (!m_engine.report()) {
        m_orderSent = false;
        return;
    }
    ++m_loadOrders;
    m_engine.call(platform::makeLoadRequest(m_desired.model, m_desired.version, m_engine.report()->ordersStarted),
                  StageTime,
                  [this, generation = m_generation, sentAt = bootMillis()](int status, const std::string &body) {
                      if (generation == m_generation) {
                          handleOrderResponse(sentAt, status, body);
                      }
                  });
}

void WeightsAgent::handleOrderResponse(Millis sentAt, int status, const std::string &body)
{
    m_orderSent = false;
    m_phaseEnteredAt = steadyMillis();
    m_orderAccepted = succeeded(status);
    const Millis now = bootMillis();
    const Millis oldest = oldestCheck(m_checks).value_or(sentAt);
    m_oldestCheckAge = std::max(m_oldestCheckAge, now - oldest);
    logInfo(LogComponent::Side, "Sent a load order to the engine.",
            {{"version", std::to_string(m_desired.version)},
             {"status", std::to_string(status)},
             {"oldest_check_ms", std::to_string((sentAt - oldest).count())},
             {"took_ms", std::to_string((now - sentAt).count())},
             {"bad_since_check", std::to_string(m_digests.size() - m_checks.checkedAt.size())},
             {"unanswered_writes", std::to_string(m_unansweredWrites)},
             {"answer", succeeded(status) ? "" : body.substr(0, 100)}});
    if (status != 0) {
        // An accepted order loads what was staged when it was accepted, regardless of what is staged later. An order
        // without a response may still be accepted; in that case, nothing is staged until the engine's report shows
        // its effect.
        adoptNextDesired();
    }
}

std::optional<bool> WeightsAgent::holdsForPeer(const peer::PieceMessage &request) const
{
    const bool manifest = request.index == peer::ManifestIndex;
    if (request.model == m_desired.model && m_prefetch.isActive() && request.version == m_prefetch.version()) {
        return manifest ? !m_prefetch.prefetched().digests.empty()
                        : m_prefetch.prefetched().pieces.contains(request.index);
    }
    if (request.model != m_desired.model || request.version != m_desired.version) {
        // An older version isn't fetched any more; the announcement of a newer one may be about to arrive.
        return request.model == m_desired.model && request.version < m_desired.version ? std::nullopt
                                                                                       : std::optional<bool>(false);
    }
    return manifest ? !m_digests.empty() : m_staged.contains(request.index) || m_unstaged.contains(request.index);
}

void WeightsAgent::readForPeer(const peer::PieceMessage &request, const std::function<void(peer::PieceMessage)> &done)
{
    const bool ahead = m_prefetch.isActive() && request.version == m_prefetch.version();
    peer::PieceMessage answer = request;
    if (request.index == peer::ManifestIndex) {
        answer.content = peer::PieceContent::Manifest;
        answer.digests = ahead ? m_prefetch.prefetched().digests : m_digests;
        done(std::move(answer));
        return;
    }
    const auto &inMemory = ahead ? m_prefetch.prefetched().pieces : m_unstaged;
    if (const auto it = inMemory.find(request.index); it != inMemory.end()) {
        answer.content = peer::PieceContent::Bytes;
        answer.bytes = it->second;
        done(std::move(answer));
        return;
    }
    m_engine.call(platform::makeStageGetRequest(request.model, request.index), StageTime,
                  [this, generation = m_generation, answer, done](int status, std::string body) mutable {
                      const bool good = status == OkStatus && generation == m_generation
                          && sha256(body) == m_digests[static_cast<std::size_t>(answer.index)];
                      if (!good && generation == m_generation) {
                          recordMismatch(answer.index, status, "peer");
                      }
                      answer.content = good ? peer::PieceContent::Bytes : peer::PieceContent::Missing;
                      answer.bytes = good ? std::move(body) : std::string();
                      done(std::move(answer));
                  });
}

} // namespace ibislock::side
