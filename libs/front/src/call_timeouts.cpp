// Timeouts of a call: a target that stops responding, weights that are retired, a quarantine, and the caller's
// deadline.

#include "call.h"
#include "caller_connection.h"
#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::front
{

using serving::RequestEvent;

namespace
{

/// Time after the deadline for which an attempt is kept, so that the target's own timeout response can arrive.
constexpr Millis LimitSlack{100};

/// How long a plain target may send nothing for a request that may be retried, as a multiple of the latency objective
/// of the route and at least. A slower response would be late anyway.
constexpr int PlainStallFactor = 3;
constexpr Millis LeastStall{250};

/// How long an engine may send nothing for a request after its VM has stopped reporting its load.
constexpr Millis EngineStall{500};

/// How long an engine may send nothing for a request while no engine reports. A sound one may be silent for a second.
constexpr Millis UnreportedStall{1500};

/// Interval at which another target is looked for while one is silent.
constexpr Millis TryInterval{100};

/// How long packets may wait at the links on the way to a target before its VM counts as slowed.
constexpr Millis MaxLinkDelay{500};

/// A request that hasn't started on older weights is cancelled this much before they are retired. Beside the way of the
/// cancellation to the target, this covers a tick, the engine step that would start the request, and the delay until
/// this VM read the announcement.
constexpr Millis WithdrawMargin = MaxLinkDelay + Millis{250};

} // namespace

Millis Call::silence(Millis now) const
{
    const CallAttempt &newest = *m_attemptsInProgress.back();
    return now - std::max({newest.heardAt, m_lastEventAt, m_lastSentAt});
}

bool Call::isStalled(Millis now) const
{
    const bool repeatable = serving::mayRunTwice(route.kind, route.resumable);
    if (m_attemptsInProgress.empty() || !repeatable || m_readingPaused || countedAttempts() >= route.maxTargets) {
        return false;
    }
    if (!usesEngine) {
        return silence(now) > plainStall();
    }
    const serving::Target *target = targetOf(front.table, m_attemptsInProgress.back()->sent);
    const bool reports = target != nullptr && hasFreshLoad(*target, now);
    return !reports && silence(now) > EngineStall;
}

Millis Call::plainStall() const
{
    return std::max(route.latencyObjective * PlainStallFactor, LeastStall);
}

void Call::tryAnotherTarget(Millis now)
{
    if (now < m_nextTryAt) {
        return;
    }
    m_nextTryAt = now + TryInterval;
    const Millis silentFor = silence(now);
    const serving::Placement placement = front.findPlacement(*this, now, usesEngine ? EngineStall : plainStall());
    // If no engine reports, the silence shows nothing about one of them.
    const bool worthTrying = placement.target != nullptr
        && (!usesEngine || hasFreshLoad(*placement.target, now) || silentFor > UnreportedStall);
    if (!worthTrying || (!responseStarted() && findQuarantined(front.quarantine, suspects))) {
        return;
    }
    const serving::RequestLifecycle before = m_lifecycle;
    advance(m_lifecycle, RequestEvent::OutcomeUnknown);
    if (!tryReserveRetry()) {
        m_lifecycle = before;
        return;
    }
    CallAttempt &silent = *m_attemptsInProgress.back();
    if (silent.passedOverAt == Millis{0}) {
        silent.passedOverAt = now;
        ++front.counters.silentTargetsPassedOver;
        recordSilence(front.table, silent.sent, now);
    }
    logInfo(LogComponent::Front, "A target is silent; sending the request to another target as well.",
            {{"id", request.attemptId},
             {"target", silent.sent.targetId},
             {"weights", std::to_string(silent.sent.weightsVersion)},
             {"begun", silent.sent.responseStarted ? "1" : "0"},
             {"silent_ms", std::to_string(silentFor.count())}});
    send(*placement.target);
}

Call::AttemptPointer Call::attemptOnRetiredWeights(Millis now) const
{
    const std::int64_t required = front.minVersionOf(request.model, now, WithdrawMargin);
    const auto it =
        std::find_if(m_attemptsInProgress.begin(), m_attemptsInProgress.end(), [&](const AttemptPointer &attempt) {
            return mayStartOnRetiredWeights(attempt->sent, front.table, required, now);
        });
    return it == m_attemptsInProgress.end() ? nullptr : *it;
}

void Call::cancelAttempt(const AttemptPointer &attempt, Millis now)
{
    logInfo(LogComponent::Front, "Cancelled a request before its target could start it on retired weights.",
            {{"id", request.attemptId},
             {"target", attempt->sent.targetId},
             {"weights", std::to_string(attempt->sent.weightsVersion)},
             {"begun", attempt->sent.responseStarted ? "1" : "0"},
             {"required", std::to_string(front.minVersionOf(request.model, now, WithdrawMargin))},
             {"sent_ms", std::to_string((now - attempt->sent.sentAt).count())}});
    attempt->exchange->cancel();
    releaseTarget(attempt, true);
    if (!m_attemptsInProgress.empty()) {
        m_attempt = m_attemptsInProgress.back();
        return;
    }
    advance(m_lifecycle, RequestEvent::OutcomeUnknown);
    if (tryReserveRetry()) {
        retryInterrupted();
    } else {
        refuse(CallOutcome::Unknown);
    }
}

bool Call::wouldCrashEngine() const
{
    const bool waits = !m_attemptsInProgress.empty()
        && std::none_of(m_attemptsInProgress.begin(), m_attemptsInProgress.end(),
                        [](const AttemptPointer &attempt) { return attempt->sent.responseStarted; });
    return waits && usesEngine && !isProbe && !responseStarted() && findQuarantined(front.quarantine, suspects);
}

void Call::cancelQuarantined()
{
    logInfo(LogComponent::Front, "Cancelled a request that would crash its engine.",
            {{"id", request.attemptId},
             {"request", hexNumber(digest)},
             {"target", m_attempt->sent.targetId},
             {"sent_ms", std::to_string((steadyMillis() - m_attempt->sent.sentAt).count())}});
    cancelAttempts();
    advance(m_lifecycle, RequestEvent::OutcomeUnknown);
    refuse(CallOutcome::Quarantined);
}

void Call::checkTimeouts(Millis now)
{
    if (!m_done && wouldCrashEngine()) {
        cancelQuarantined();
        return;
    }
    if (const AttemptPointer retired = m_done ? nullptr : attemptOnRetiredWeights(now)) {
        cancelAttempt(retired, now);
        return;
    }
    const bool inProgress = !m_attemptsInProgress.empty();
    if (m_done || deadlineAt == Millis{0} || now < deadlineAt + (inProgress ? LimitSlack : Millis{0})) {
        if (!m_done && isStalled(now)) {
            tryAnotherTarget(now);
        }
        return;
    }
    refuse(CallOutcome::ExpiredBeforeSend);
}

} // namespace ibislock::front
