// Timeouts of a call: a target that stops responding, weights that are retired, a quarantine, and the caller's
// deadline.

#include "call.h"
#include "caller_connection.h"
#include "ibislock/base/log.h"

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

/// How long packets may wait at the links on the way to a target before its VM counts as slowed.
constexpr Millis MaxLinkDelay{500};

/// A request that hasn't started on older weights is cancelled this much before they are retired. Beside the way of the
/// cancellation to the target, this covers a tick, the engine step that would start the request, and the delay until
/// this VM read the announcement.
constexpr Millis WithdrawMargin = MaxLinkDelay + Millis{250};

} // namespace

bool Call::isStalled(Millis now) const
{
    const bool repeatable = serving::mayRunTwice(route.kind, route.resumable);
    if (!m_exchange || !repeatable || m_attempts - m_connectFailures >= route.maxTargets) {
        return false;
    }
    const Millis silence = now - std::max(m_attempt.sentAt, m_lastEventAt);
    if (!usesEngine) {
        return silence > std::max(route.latencyObjective * PlainStallFactor, LeastStall);
    }
    const serving::Target *target = targetOf(front.table, m_attempt);
    const bool reports = target != nullptr && hasFreshLoad(*target, now);
    return !reports && silence > EngineStall;
}

bool Call::switchTarget(Millis now)
{
    if (front.findPlacement(*this, now).target == nullptr) {
        return false;
    }
    const serving::RequestLifecycle before = m_lifecycle;
    advance(m_lifecycle, RequestEvent::OutcomeUnknown);
    if (!tryReserveRetry()) {
        m_lifecycle = before;
        return false;
    }
    logInfo(LogComponent::Front, "A target stopped responding; moving the request to another target.",
            {{"id", request.attemptId},
             {"target", m_attempt.targetId},
             {"weights", std::to_string(m_attempt.weightsVersion)},
             {"begun", m_attempt.responseStarted ? "1" : "0"},
             {"silent_ms", std::to_string((now - std::max(m_attempt.sentAt, m_lastEventAt)).count())}});
    m_exchange->cancel();
    releaseTarget(false);
    front.dispatch(shared_from_this());
    return true;
}

bool Call::wouldStartOnRetiredWeights(Millis now) const
{
    return m_exchange
        && mayStartOnRetiredWeights(m_attempt, front.table, front.minVersionOf(request.model, now, WithdrawMargin),
                                    now);
}

void Call::cancelAttempt(Millis now)
{
    logInfo(LogComponent::Front, "Cancelled a request before its target could start it on retired weights.",
            {{"id", request.attemptId},
             {"target", m_attempt.targetId},
             {"weights", std::to_string(m_attempt.weightsVersion)},
             {"begun", m_attempt.responseStarted ? "1" : "0"},
             {"required", std::to_string(front.minVersionOf(request.model, now, WithdrawMargin))},
             {"sent_ms", std::to_string((now - m_attempt.sentAt).count())}});
    m_exchange->cancel();
    releaseTarget(true);
    advance(m_lifecycle, RequestEvent::OutcomeUnknown);
    if (tryReserveRetry()) {
        retryInterrupted();
    } else {
        refuse(CallOutcome::Unknown);
    }
}

bool Call::wouldCrashEngine() const
{
    return m_exchange && usesEngine && !isProbe && !m_attempt.responseStarted && !responseStarted()
        && findQuarantined(front.quarantine, suspects);
}

void Call::cancelQuarantined()
{
    logInfo(LogComponent::Front, "Cancelled a request that would crash its engine.",
            {{"id", request.attemptId},
             {"request", hexNumber(digest)},
             {"target", m_attempt.targetId},
             {"sent_ms", std::to_string((steadyMillis() - m_attempt.sentAt).count())}});
    m_exchange->cancel();
    releaseTarget(true);
    advance(m_lifecycle, RequestEvent::OutcomeUnknown);
    refuse(CallOutcome::Quarantined);
}

void Call::checkTimeouts(Millis now)
{
    if (!m_done && wouldCrashEngine()) {
        cancelQuarantined();
        return;
    }
    if (!m_done && wouldStartOnRetiredWeights(now)) {
        cancelAttempt(now);
        return;
    }
    if (!m_done && isStalled(now) && switchTarget(now)) {
        return;
    }
    if (m_done || deadlineAt == Millis{0} || now < deadlineAt + (m_exchange ? LimitSlack : Millis{0})) {
        return;
    }
    if (m_exchange) {
        m_exchange->cancel();
        releaseTarget(true);
    }
    refuse(CallOutcome::ExpiredBeforeSend);
}

} // namespace ibislock::front
