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

/// Delay before the stage is read again if the engine didn't respond.
constexpr Millis EngineRetryPause{1000};

/// Verifications in a row that may take too long. Then the load is ordered all the same, and its pieces are verified
/// once more before the engine serves.
constexpr int MaxStaleVerifications = 2;

constexpr int OkStatus = 200;
constexpr int CreatedStatus = 201;
constexpr int AcceptedStatus = 202;
constexpr int NoContentStatus = 204;
constexpr int NotFoundStatus = 404;

bool succeeded(int status)
{
    return status == OkStatus || status == CreatedStatus || status == AcceptedStatus || status == NoContentStatus;
}

/// Returns whether a read of a piece shows its content, or that it is missing.
bool showsContent(int status)
{
    return status == OkStatus || status == NotFoundStatus;
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
    m_checks = {};
    m_recheckMismatch = false;
    readMorePieces();
}

void WeightsAgent::readMorePieces()
{
    const int count = static_cast<int>(m_digests.size());
    const int limit = weights::stageReadsAtOnce(m_digests.size(), m_readTime);
    while (m_nextReadIndex < count && m_activeReads < limit) {
        const int piece = m_nextReadIndex++;
        if (m_prefetched.pieces.contains(piece)) {
            continue; // It is staged from memory, regardless of the stage's content.
        }
        ++m_activeReads;
        m_engine.call(
            platform::makeStageGetRequest(m_desired.model, piece), StageTime,
            [this, generation = m_generation, piece, requestedAt = bootMillis()](int status, const std::string &body) {
                if (generation == m_generation) {
                    handlePieceRead(piece, requestedAt, status, body);
                }
            },
            maxPieceResponse(m_desired.pieceBytes));
    }
    if (m_activeReads == 0) {
        finishReading();
    }
}

void WeightsAgent::handlePieceRead(int piece, Millis requestedAt, int status, const std::string &body)
{
    --m_activeReads;
    m_readTime = bootMillis() - requestedAt;
    if (status == OkStatus && sha256(body) == m_digests[static_cast<std::size_t>(piece)]) {
        m_staged.insert(piece);
        recordMatch(m_checks, piece, requestedAt);
    } else if (m_phase != WeightsPhase::Rechecking || showsContent(status)) {
        m_recheckMismatch = true;
        recordMismatch(piece, status, "verification");
    }
    readMorePieces();
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
    if (m_phase == WeightsPhase::Rechecking) {
        finishRechecking();
        return;
    }
    const bool all = m_staged.size() == m_digests.size();
    if (isDesiredLoaded() && !m_loadUnproven && !m_pendingOrder) {
        m_prefetched = {};
        enterPhase(WeightsPhase::Idle);
        adoptNextDesired();
    } else if (!all) {
        beginFetching();
    } else if (m_phase == WeightsPhase::Verifying) {
        orderLoad();
    } else {
        scheduleLoad();
    }
    m_exchange.completePending();
}

void WeightsAgent::finishRechecking()
{
    if (m_checks.checkedAt.size() == m_digests.size() && !m_digests.empty()) {
        // Pieces that match now matched when the order was accepted, as nothing has been written since.
        m_loadUnproven = false;
        enterPhase(WeightsPhase::Ordered);
        step();
        return;
    }
    if (!m_recheckMismatch) {
        m_orderTimer.start(EngineRetryPause, [this] { readStage(); });
        return;
    }
    logWarning(LogComponent::Side,
               "The engine may have loaded corrupt pieces; it gets no requests until it has loaded weights again.",
               {{"version", std::to_string(m_desired.version)},
                {"matching", std::to_string(m_checks.checkedAt.size())},
                {"pieces", std::to_string(m_digests.size())}});
    if (m_nextDesired) {
        adoptNextDesired();
        return;
    }
    beginFetching();
    m_exchange.completePending();
}

void WeightsAgent::beginFetching()
{
    enterPhase(WeightsPhase::Fetching);
    m_pieceFetcher.begin({.model = m_desired.model,
                          .version = m_desired.version,
                          .origin = m_desired.origin,
                          .digests = m_digests,
                          .domain = m_domain,
                          .members = m_members,
                          .held = heldPieces(m_desired.version),
                          .isFresh = isFresh(m_desired, steadyMillis()),
                          .originPieceTime = m_desired.originPieceTime,
                          .pieceBytes = m_desired.pieceBytes});
    stagePrefetched();
    fetchMore();
}

void WeightsAgent::verifyManifest()
{
    logWarning(LogComponent::Side, "A piece keeps differing from its digest; requesting the manifest again.",
               {{"version", std::to_string(m_desired.version)}});
    m_manifestFetcher.begin(m_desired, ManifestSource::Origin,
                            [this](std::vector<Digest> digests) { replaceManifest(std::move(digests)); });
}

void WeightsAgent::replaceManifest(std::vector<Digest> digests)
{
    if (digests == m_digests || m_phase != WeightsPhase::Fetching) {
        return;
    }
    if (m_pendingOrder) {
        m_correctDigests = std::move(digests);
        return;
    }
    logWarning(LogComponent::Side, "Replacing a wrong manifest by that of the origin.",
               {{"version", std::to_string(m_desired.version)}});
    m_prefetched = {.digests = std::move(digests), .pieces = {}};
    restart();
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
    if (isStageFixed()) {
        m_unstaged[piece] = std::move(bytes);
        m_exchange.completePending();
        return;
    }
    const auto kept = std::make_shared<std::string>(std::move(bytes));
    const std::uint64_t write = ++m_nextWrite;
    m_writes[write] = {.version = m_desired.version};
    // An engine may take seconds to respond. Other VMs get the piece meanwhile, so that they don't turn to the origin.
    m_beingStaged[piece] = kept;
    m_exchange.completePending();
    m_engine.call(platform::makeStagePutRequest(m_desired.model, piece, *kept), StageTime,
                  [this, generation = m_generation, version = m_desired.version, write, piece,
                   kept](int status, const std::string &) {
                      recordWrite(write, version, piece, status);
                      if (generation != m_generation) {
                          return;
                      }
                      m_beingStaged.erase(piece);
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

void WeightsAgent::recordWrite(std::uint64_t write, std::int64_t version, int piece, int status)
{
    const auto it = m_writes.find(write);
    if (it != m_writes.end() && status != 0) {
        m_writes.erase(it);
    } else if (it != m_writes.end()) {
        it->second.isActive = false;
        it->second.unansweredSince = steadyMillis();
    }
    if (succeeded(status)) {
        return;
    }
    m_unansweredWrites += status == 0 ? 1 : 0;
    logWarning(LogComponent::Side, "Staging a piece failed.",
               {{"version", std::to_string(version)},
                {"piece", std::to_string(piece)},
                {"status", std::to_string(status)},
                {"superseded", version == m_desired.version ? "0" : "1"}});
}

void WeightsAgent::retryStaging()
{
    if (m_unstaged.empty() || steadyMillis() < m_stageRetryAt || isStageFixed()) {
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
    m_orderSent = false;
    if (!m_engine.report()) {
        return;
    }
    SentOrder order{.sentAt = bootMillis(), .ordersBefore = m_engine.report()->ordersStarted, .checks = m_checks};
    if (m_pendingOrder && m_pendingOrder->ordersBefore != order.ordersBefore) {
        updatePendingOrder(steadyMillis());
        return;
    }
    const bool recent = mayOrderLoad(m_checks, m_digests.size(), order.sentAt);
    const bool checked = m_checks.checkedAt.size() == m_digests.size();
    if (!recent && (!checked || m_staleVerifications < MaxStaleVerifications)) {
        verifyAgain();
        return;
    }
    m_orderSent = true;
    ++m_loadOrders;
    const Millis deadline = recent ? orderDeadline(m_checks) : order.sentAt + weights::MaxCheckAgeAtOrder;
    m_engine.order(
        platform::makeLoadRequest(m_desired.model, m_desired.version, order.ordersBefore), StageTime, deadline,
        [this, generation = m_generation, order](net::ExchangeOutcome outcome, int status, const std::string &body) {
            if (generation == m_generation) {
                handleOrderResponse(order, outcome, status, body);
            }
        });
}

void WeightsAgent::verifyAgain()
{
    ++m_staleChecks;
    ++m_staleVerifications;
    const Millis now = bootMillis();
    logInfo(LogComponent::Side, "The pieces are verified again; a check is too old for the load order.",
            {{"version", std::to_string(m_desired.version)},
             {"oldest_check_ms", std::to_string((now - oldestCheck(m_checks).value_or(now)).count())},
             {"bad_since_check", std::to_string(m_digests.size() - m_checks.checkedAt.size())}});
    enterPhase(WeightsPhase::Verifying);
    readStage();
}

void WeightsAgent::handleOrderResponse(const SentOrder &order, net::ExchangeOutcome outcome, int status,
                                       const std::string &body)
{
    logOrder(order, outcome, status, body);
    m_orderSent = false;
    if (outcome == net::ExchangeOutcome::NotConnected) {
        enterPhase(WeightsPhase::Waiting);
        m_loadAt = steadyMillis() + EngineRetryPause;
        return;
    }
    m_staleVerifications = 0;
    m_phaseEnteredAt = steadyMillis();
    m_orderAccepted = succeeded(status);
    if (status == 0) {
        // An order without a response may still be accepted. Until its fate is known, nothing is staged.
        m_pendingOrder = {.ordersBefore = order.ordersBefore, .since = steadyMillis()};
        return;
    }
    if (status == AcceptedStatus) {
        m_pendingOrder.reset(); // Another order with the same count can't be accepted any more.
        m_loadUnproven = false;
        if (!isLoadProven(order.checks, m_digests.size(), bootMillis())) {
            recheckLoad();
            return;
        }
    } else if (m_orderAccepted && m_loadUnproven) {
        logError(LogComponent::Side, "The engine keeps weights that may be corrupt; it gets no requests.",
                 {{"version", std::to_string(m_desired.version)}});
        enterPhase(WeightsPhase::Idle);
    }
    // An accepted order loads what was staged when it was accepted, regardless of what is staged later.
    adoptNextDesired();
}

void WeightsAgent::logOrder(const SentOrder &order, net::ExchangeOutcome outcome, int status, const std::string &body)
{
    const Millis now = bootMillis();
    const Millis oldest = oldestCheck(order.checks).value_or(order.sentAt);
    m_oldestCheckAge = std::max(m_oldestCheckAge, now - oldest);
    logInfo(LogComponent::Side, "Sent a load order to the engine.",
            {{"version", std::to_string(m_desired.version)},
             {"outcome", std::string(nameOf(net::ExchangeOutcomeNames, outcome))},
             {"status", std::to_string(status)},
             {"oldest_check_ms", std::to_string((order.sentAt - oldest).count())},
             {"took_ms", std::to_string((now - order.sentAt).count())},
             {"bad_since_check", std::to_string(m_digests.size() - m_checks.checkedAt.size())},
             {"unanswered_writes", std::to_string(m_unansweredWrites)},
             {"answer", succeeded(status) ? "" : body.substr(0, 100)}});
}

void WeightsAgent::recheckLoad()
{
    logWarning(LogComponent::Side, "The engine may have accepted a load order late; its pieces are verified once more.",
               {{"version", std::to_string(m_desired.version)}});
    m_loadUnproven = true;
    m_pieceFetcher.stop(); // The recheck must not see pieces that were staged after the load.
    enterPhase(WeightsPhase::Rechecking);
    readStage();
}

std::vector<bool> WeightsAgent::heldPieces(std::int64_t version) const
{
    const bool ahead = m_prefetch.isActive() && version == m_prefetch.version();
    if (!ahead && (version != m_desired.version || m_phase == WeightsPhase::Reading)) {
        return {};
    }
    const PrefetchedPieces &prefetched = m_prefetch.prefetched();
    std::vector<bool> out(ahead ? prefetched.digests.size() : m_digests.size());
    for (std::size_t n = 0; n < out.size(); ++n) {
        const auto piece = static_cast<int>(n);
        out[n] = ahead ? prefetched.pieces.contains(piece)
                       : m_staged.contains(piece) || m_unstaged.contains(piece) || m_beingStaged.contains(piece);
    }
    return out;
}

void WeightsAgent::recordPeerHoldings(const peer::PieceMessage &request)
{
    if (request.model != m_desired.model) {
        return;
    }
    m_pieceFetcher.recordPeerHoldings(request.version, request.sender, request.held);
    m_prefetch.recordPeerHoldings(request.version, request.sender, request.held);
}

std::optional<bool> WeightsAgent::findForPeer(const peer::PieceMessage &request) const
{
    const bool manifest = request.index == peer::ManifestIndex;
    if (request.index == peer::HoldingsIndex && request.model == m_desired.model
        && request.version >= m_desired.version) {
        return !heldPieces(request.version).empty();
    }
    if (request.model == m_desired.model && m_prefetch.isActive() && request.version == m_prefetch.version()) {
        return manifest ? !m_prefetch.prefetched().digests.empty()
                        : m_prefetch.prefetched().pieces.contains(request.index);
    }
    if (request.model != m_desired.model || request.version != m_desired.version) {
        // An older version isn't fetched any more; the announcement of a newer one may be about to arrive.
        return request.model == m_desired.model && request.version < m_desired.version ? std::nullopt
                                                                                       : std::optional<bool>(false);
    }
    if (manifest) {
        return !m_digests.empty();
    }
    return m_staged.contains(request.index) || m_unstaged.contains(request.index)
        || m_beingStaged.contains(request.index);
}

std::optional<bool> WeightsAgent::holdsForPeer(const peer::PieceMessage &request) const
{
    const std::optional<bool> held = findForPeer(request);
    const bool declines = held == false && request.index >= 0 && isCutOff(m_pacing.origin);
    return declines ? std::nullopt : held;
}

void WeightsAgent::readForPeer(const peer::PieceMessage &request, const std::function<void(peer::PieceMessage)> &done)
{
    const bool ahead = m_prefetch.isActive() && request.version == m_prefetch.version();
    peer::PieceMessage answer = request;
    if (request.index == peer::HoldingsIndex) {
        answer.content = peer::PieceContent::Holdings;
        answer.held = weights::encodeHeld(heldPieces(request.version));
        done(std::move(answer));
        return;
    }
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
    if (const auto it = m_beingStaged.find(request.index); !ahead && it != m_beingStaged.end()) {
        answer.content = peer::PieceContent::Bytes;
        answer.bytes = *it->second;
        done(std::move(answer));
        return;
    }
    m_engine.call(
        platform::makeStageGetRequest(request.model, request.index), StageTime,
        [this, generation = m_generation, answer, done](int status, std::string body) mutable {
            const bool good = status == OkStatus && generation == m_generation
                && sha256(body) == m_digests[static_cast<std::size_t>(answer.index)];
            if (!good && generation == m_generation && showsContent(status)) {
                recordMismatch(answer.index, status, "peer");
            }
            answer.content = good ? peer::PieceContent::Bytes : peer::PieceContent::Missing;
            answer.bytes = good ? std::move(body) : std::string();
            done(std::move(answer));
        },
        maxPieceResponse(m_desired.pieceBytes));
}

} // namespace ibislock::side
