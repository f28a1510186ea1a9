// What time does to a call that was sent: a silent target, weights that go out of use, and the caller's limit.

#include "call.h"
#include "caller_connection.h"
#include "ibislock/base/log.h"

namespace ibislock::front
{

using serving::RequestEvent;

namespace
{

/// By how much a call outlives its time, so that a target's own answer to the limit can arrive.
constexpr Millis LimitSlack{100};

/// How long a plain target may be silent about a request that may run again, in objectives of its route. Answers that
/// take longer are late anyway.
constexpr int PlainStallFactor = 3;
constexpr Millis LeastStall{250};

/// How long an engine may be silent about a request when its VM has stopped to report.
constexpr Millis EngineStall{500};

/// By how much sooner than the contract asks a request that has not begun on old weights is taken back: the way to the
/// target, a tick, the step in which its engine would begin it, and the time until this VM had read of the naming.
constexpr Millis WithdrawMargin{250};

} // namespace

bool Call::isStalled(Millis now) const
{
    const bool repeatable = serving::mayRunTwice(route.kind, route.resumable);
    if (!m_exchange || !repeatable || m_sends - m_connectFailures >= route.maxTargets) {
        return false;
    }
    const Millis silence = now - std::max(m_sentAt, m_lastEventAt);
    if (!engine) {
        return silence > std::max(route.latencyObjective * PlainStallFactor, LeastStall);
    }
    const auto it = front.table.targets.find(m_targetId);
    const bool reports = it != front.table.targets.end() && hasFreshLoad(it->second, now);
    return !reports && silence > EngineStall;
}

bool Call::leaveTarget(Millis now)
{
    if (front.placementOf(*this, now).target == nullptr) {
        return false;
    }
    const serving::RequestLifecycle before = m_life;
    advance(m_life, RequestEvent::OutcomeUnknown);
    if (!mayRepeat()) {
        m_life = before;
        return false;
    }
    logInfo(LogComponent::Front, "A target is silent; the request goes on at another.",
            {{"id", request.attemptId},
             {"target", m_targetId},
             {"silent_ms", std::to_string((now - std::max(m_sentAt, m_lastEventAt)).count())}});
    m_exchange->cancel();
    releaseTarget(false);
    front.dispatch(shared_from_this());
    return true;
}

bool Call::isOutdated(Millis now) const
{
    if (!m_exchange || !engine || hasBegun()) {
        return false;
    }
    const auto it = front.table.targets.find(m_targetId);
    const std::int64_t required = front.minVersionOf(request.model, now, WithdrawMargin);
    return required > 0 && it != front.table.targets.end() && knownVersion(it->second, now) < required;
}

void Call::withdraw(Millis now)
{
    logInfo(LogComponent::Front, "A request is taken back before it begins on old weights.",
            {{"id", request.attemptId}, {"target", m_targetId}, {"sent_ms", std::to_string((now - m_sentAt).count())}});
    m_exchange->cancel();
    releaseTarget(true);
    advance(m_life, RequestEvent::OutcomeUnknown);
    if (mayRepeat()) {
        front.dispatch(shared_from_this());
    } else {
        refuse(CallOutcome::Unknown);
    }
}

void Call::checkTime(Millis now)
{
    if (!m_done && isOutdated(now)) {
        withdraw(now);
        return;
    }
    if (!m_done && isStalled(now) && leaveTarget(now)) {
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
