#include "weights_agent.h"

#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::side
{

namespace
{

/// How long an engine may respond without showing an order in its reports before the order counts as failed.
constexpr Millis OrderTime{1500};

/// How long an engine that responds may take to apply a write to its stage that got no response.
constexpr Millis WriteTime{1500};

/// How long an engine that responds may take to accept an order that got no response. Until then, the stage keeps the
/// version that was ordered.
constexpr Millis PendingOrderTime{10000};

} // namespace

WeightsAgent::WeightsAgent(asio::io_context &loop, net::HttpClient &client, EngineMonitor &engine, std::string self,
                           std::string domain, std::uint16_t peerPort, Millis pieceInterval,
                           const PieceServerLimits &limits, DistributionMembers members)
    : m_engine(engine)
    , m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_members(std::move(members))
    , m_pacing{.pieceInterval = pieceInterval}
    , m_exchange(
          loop, peerPort, pieceInterval,
          {
              .holds = [this](const peer::PieceMessage &request) { return holdsForPeer(request); },
              .read = [this](const peer::PieceMessage &request,
                             const std::function<void(peer::PieceMessage)> &done) { readForPeer(request, done); },
              .onHoldings = [this](const peer::PieceMessage &request) { recordPeerHoldings(request); },
          },
          limits)
    , m_orderTimer(loop)
    , m_manifestFetcher(loop, client, m_exchange, m_self, m_domain, m_members)
    , m_pieceFetcher(loop, client, m_exchange, m_self, m_pacing, FetchPriority::Urgent,
                     {.onPiece = [this](int piece, std::string bytes) { stage(piece, std::move(bytes)); },
                      .onManifestDoubt =
                          [this] {
                              verifyManifest();
                          }})
    , m_prefetch(loop, client, m_exchange, m_self, m_domain, m_pacing, m_members,
                 [this] { m_exchange.completePending(); })
{
}

asio::error_code WeightsAgent::open()
{
    return m_exchange.open(m_self);
}

void WeightsAgent::setDesired(const DesiredWeights &desired)
{
    if (m_nextDesired && desired.model == m_nextDesired->model && desired.version == m_nextDesired->version) {
        m_nextDesired = desired; // The times of announcements are corrected occasionally.
        return;
    }
    const bool changed = desired.model != m_desired.model || desired.version != m_desired.version;
    const bool superseded = changed && desired.model == m_desired.model;
    if (superseded
        && (hasAllPieces() || isWorthFinishing(desired) || m_pendingOrder || m_phase == WeightsPhase::Rechecking)) {
        setNextDesired(desired);
        return;
    }
    m_desired = desired;
    m_nextDesired.reset();
    m_prefetch.stop();
    m_prefetched = {};
    if (changed) {
        restart();
    }
}

void WeightsAgent::setNextDesired(const DesiredWeights &desired)
{
    m_nextDesired = desired;
    if (m_prefetch.version() != desired.version) {
        logInfo(LogComponent::Side, "Finishing a version of the weights before loading a newer one.",
                {{"version", std::to_string(m_desired.version)},
                 {"newer", std::to_string(desired.version)},
                 {"staged", std::to_string(m_staged.size())}});
        m_prefetch.begin(desired);
    }
}

void WeightsAgent::adoptNextDesired()
{
    if (m_nextDesired && !m_pendingOrder) {
        m_desired = *std::exchange(m_nextDesired, std::nullopt);
        m_prefetched = m_prefetch.take();
        restart();
    }
}

bool WeightsAgent::hasAllPieces() const
{
    return m_phase == WeightsPhase::Waiting || m_phase == WeightsPhase::Verifying
        || (m_phase == WeightsPhase::Ordered && !m_orderAccepted);
}

bool WeightsAgent::isWorthFinishing(const DesiredWeights &next) const
{
    // The origin no longer has a version that was superseded twice.
    const bool supersededBefore = m_nextDesired.has_value();
    return m_phase == WeightsPhase::Fetching && !supersededBefore
        && weights::isWorthFinishing(m_pieceFetcher.turns(), uselessAt(next) - steadyMillis());
}

Millis WeightsAgent::uselessAt(const DesiredWeights &next) const
{
    return oldestPendingAnnouncementTime(next.announced, m_desired.version) + next.gracePeriod;
}

bool WeightsAgent::isOutdated() const
{
    const bool loads =
        m_phase == WeightsPhase::Verifying || m_phase == WeightsPhase::Ordered || m_phase == WeightsPhase::Rechecking;
    if (!m_nextDesired || loads || m_pendingOrder) {
        return false;
    }
    // The desired version is outdated if no request could start on it once it is loaded, or if the newer version is
    // complete before it.
    const Millis now = steadyMillis();
    const Millis useless = uselessAt(*m_nextDesired);
    if (m_phase == WeightsPhase::Fetching) {
        const weights::OriginTurns &turns = m_pieceFetcher.turns();
        if (now + turns.pieceTime * weights::missingPieces(turns) >= useless) {
            return true; // The origin can't send the rest in time.
        }
    }
    return now >= useless || (m_phase == WeightsPhase::Fetching && m_prefetch.isComplete());
}

bool WeightsAgent::isOrderIneffective(Millis now) const
{
    // An engine that didn't respond for a while may still accept the order when it resumes.
    const Millis since = std::max(m_phaseEnteredAt, m_engine.respondingSince());
    return !m_orderSent && !m_engine.report()->orderInProgress && now > since + OrderTime;
}

bool WeightsAgent::areWritesSettled(Millis now)
{
    std::erase_if(m_writes, [&](const auto &item) {
        const StageWrite &write = item.second;
        return !write.isActive && now > std::max(write.unansweredSince, m_engine.respondingSince()) + WriteTime;
    });
    return m_writes.empty();
}

bool WeightsAgent::isStageFixed() const
{
    return m_pendingOrder || m_phase == WeightsPhase::Rechecking;
}

void WeightsAgent::updatePendingOrder(Millis now)
{
    if (!m_pendingOrder || m_orderSent || m_phase == WeightsPhase::Verifying) {
        return;
    }
    if (m_engine.report()->ordersStarted != m_pendingOrder->ordersBefore) {
        m_pendingOrder.reset();
        recheckLoad();
    } else if (now > std::max(m_pendingOrder->since, m_engine.respondingSince()) + PendingOrderTime) {
        m_pendingOrder.reset();
    }
}

double WeightsAgent::rolloutFraction() const
{
    return weights::rolloutPosition(m_self, m_domain, m_members(m_desired.version));
}

void WeightsAgent::scheduleLoad()
{
    enterPhase(WeightsPhase::Waiting);
    const Millis now = steadyMillis();
    const std::int64_t loaded = m_engine.loadedVersion();
    const Millis deadline = oldestPendingAnnouncementTime(m_desired.announced, loaded) + m_desired.gracePeriod;
    const Millis left = loaded == 0 || m_loadUnproven ? Millis{0} : std::max(Millis{0}, deadline - now);
    m_loadAt = now + left * static_cast<std::int64_t>(rolloutFraction() * 1000) / 1000;
}

WeightsProgress WeightsAgent::progress() const
{
    return {.version = m_desired.version,
            .phase = m_phase,
            .staged = m_staged.size(),
            .pieces = m_digests.size(),
            .prefetched = m_prefetch.prefetched().pieces.size()};
}

WeightsCounts WeightsAgent::counts() const
{
    const FetchCounts &ahead = m_prefetch.counts();
    FetchCounts fetched = m_pieceFetcher.counts();
    fetched.fromOrigin += ahead.fromOrigin;
    fetched.fromPeers += ahead.fromPeers;
    fetched.originAttempts += ahead.originAttempts;
    fetched.corrupt += ahead.corrupt;
    return {.fetched = fetched,
            .corruptStaged = m_corruptStaged,
            .loadOrders = m_loadOrders,
            .unansweredWrites = m_unansweredWrites,
            .staleChecks = m_staleChecks,
            .oldestCheckAge = m_oldestCheckAge};
}

std::uint64_t WeightsAgent::bytesServed() const
{
    return m_exchange.bytesServed();
}

bool WeightsAgent::isLoading() const
{
    return m_phase == WeightsPhase::Verifying || m_phase == WeightsPhase::Ordered || m_phase == WeightsPhase::Rechecking
        || m_loadUnproven;
}

std::optional<Millis> WeightsAgent::timeUntilLoad() const
{
    if (m_phase != WeightsPhase::Waiting || isDesiredLoaded()) {
        return std::nullopt;
    }
    return std::max(Millis{0}, m_loadAt - steadyMillis());
}

bool WeightsAgent::needsMembers() const
{
    const bool ahead = m_prefetch.isActive() && !m_prefetch.isComplete();
    return m_phase == WeightsPhase::Manifest || m_phase == WeightsPhase::Fetching || ahead;
}

bool WeightsAgent::isDesiredLoaded() const
{
    return m_engine.loadedVersion() >= m_desired.version;
}

void WeightsAgent::enterPhase(WeightsPhase phase)
{
    if (m_phase != phase) {
        logInfo(LogComponent::Side, "The weights agent entered a new phase.",
                {{"version", std::to_string(m_desired.version)},
                 {"phase", std::string(nameOf(WeightsPhaseNames, phase))},
                 {"staged", std::to_string(m_staged.size())}});
    }
    m_phase = phase;
    m_phaseEnteredAt = steadyMillis();
}

void WeightsAgent::restart()
{
    ++m_generation;
    m_orderTimer.cancel();
    m_digests.clear();
    m_correctDigests.clear();
    m_staged.clear();
    m_checks = {};
    m_beingStaged.clear();
    m_unstaged.clear();
    m_pieceFetcher.stop();
    m_manifestFetcher.stop();
    m_activeReads = 0;
    m_orderSent = false;
    m_orderAccepted = false;
    m_staleVerifications = 0;
    m_pendingOrder.reset();
    if (m_desired.version == 0) {
        enterPhase(WeightsPhase::Idle);
    } else if (!m_prefetched.digests.empty()) {
        applyManifest(m_prefetched.digests);
    } else {
        enterPhase(WeightsPhase::Manifest);
        m_manifestFetcher.begin(m_desired, ManifestSource::Any,
                                [this](std::vector<Digest> digests) { applyManifest(std::move(digests)); });
    }
}

void WeightsAgent::keepUnstaged()
{
    if (!m_unstaged.empty()) {
        m_prefetched = {.digests = m_digests, .pieces = std::exchange(m_unstaged, {})};
    }
}

void WeightsAgent::step()
{
    const Millis now = steadyMillis();
    if (m_desired.version == 0 || !m_engine.report()) {
        return;
    }
    if (m_engine.report()->startedAt != m_engineStart) {
        m_engineStart = m_engine.report()->startedAt;
        // A restarted engine has no weights, and what its predecessor had received has no effect.
        m_loadUnproven = false;
        m_pendingOrder.reset(); // adoptNextDesired() requires it.
        m_writes.clear();
        if (m_nextDesired) {
            adoptNextDesired(); // The restarted engine has nothing left to finish.
        } else {
            keepUnstaged();
            restart();
        }
    }
    m_prefetch.step();
    updatePendingOrder(now);
    if (isOutdated()) {
        adoptNextDesired();
    }
    switch (m_phase) {
    case WeightsPhase::Idle:
        if (!isDesiredLoaded()) {
            restart(); // The engine no longer has its weights.
        }
        break;
    case WeightsPhase::Manifest:
        m_manifestFetcher.step();
        break;
    case WeightsPhase::Reading:
        break;
    case WeightsPhase::Fetching:
        m_manifestFetcher.step();
        if (!m_correctDigests.empty() && !m_pendingOrder) {
            replaceManifest(std::exchange(m_correctDigests, {}));
        } else {
            fetchMore();
        }
        break;
    case WeightsPhase::Waiting:
        if (isDesiredLoaded() && !m_loadUnproven && !m_pendingOrder) {
            enterPhase(WeightsPhase::Idle);
            adoptNextDesired();
        } else if (now >= m_loadAt && !m_engine.report()->orderInProgress && areWritesSettled(now)) {
            enterPhase(WeightsPhase::Verifying);
            readStage();
        }
        break;
    case WeightsPhase::Verifying:
    case WeightsPhase::Rechecking:
        break;
    case WeightsPhase::Ordered:
        if (isDesiredLoaded() && !m_loadUnproven && !m_pendingOrder) {
            enterPhase(WeightsPhase::Idle);
            adoptNextDesired();
        } else if (isOrderIneffective(now)) {
            enterPhase(WeightsPhase::Waiting); // All pieces are verified again before the next order.
            adoptNextDesired();
        }
        break;
    }
}

} // namespace ibislock::side
