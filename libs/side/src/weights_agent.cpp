#include "weights_agent.h"

#include "ibislock/base/log.h"

namespace ibislock::side
{

namespace
{

/// How long an engine may respond without showing an order in its reports before the order counts as failed.
constexpr Millis OrderTime{1500};

/// Fraction of the pieces that must be staged for a superseded version to be finished. With fewer, the rest would take
/// as long as the newer version.
constexpr double WorthFinishing = 0.25;

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
    , m_announcement(loop)
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
        m_nextGoal = goal; // The times of announcements are corrected occasionally.
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
        logInfo(LogComponent::Side, "Finishing a version of the weights before loading a newer one.",
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
    // The origin no longer has a version that was superseded twice.
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
    // The desired version is outdated if no request could start on it once it is loaded, or if the newer version is
    // complete before it.
    const Millis useless = oldestPendingAnnouncementTime(m_nextGoal->named, m_goal.version) + m_nextGoal->versionTime;
    return steadyMillis() >= useless || (m_phase == WeightsPhase::Fetching && m_ahead.isWhole());
}

bool WeightsAgent::isOrderWithoutEffect(Millis now) const
{
    // An engine that didn't respond for a while may still accept the order when it resumes.
    const Millis since = std::max(m_enteredAt, m_engine.answersSince());
    return !m_orderSent && !m_engine.report()->orderInProgress && now > since + OrderTime;
}

double WeightsAgent::turnPart() const
{
    return weights::rolloutPosition(m_self, m_domain, m_members(m_goal.version));
}

void WeightsAgent::waitForTurn()
{
    enter(WeightsPhase::Waiting);
    const Millis now = steadyMillis();
    const std::int64_t loaded = m_engine.loadedVersion();
    const Millis deadline = oldestPendingAnnouncementTime(m_goal.named, loaded) + m_goal.versionTime;
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
        logInfo(LogComponent::Side, "The weights agent entered a new phase.",
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
    m_announcement.cancel();
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
            adoptNextGoal(); // The restarted engine has nothing left to finish.
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
            restart(); // The engine no longer has its weights.
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
        } else if (now >= m_turnAt && !m_engine.report()->orderInProgress) {
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
        } else if (isOrderWithoutEffect(now)) {
            enter(WeightsPhase::Waiting); // All pieces are verified again before the next order.
            adoptNextGoal();
        }
        break;
    }
}

} // namespace ibislock::side
