#include "ibislock/serving/target_signals.h"

#include <algorithm>

namespace ibislock::serving
{

void recordDraining(TargetSignals &signals)
{
    signals.draining = true;
}

void recordBackoff(TargetSignals &signals, Millis backoff, Millis now)
{
    signals.backoffUntil = std::max(signals.backoffUntil, now + std::min(backoff, MaxBackoff));
}

LimitChange recordLimit(TargetSignals &signals, const LimitSignal &signal, Random &random, Millis now)
{
    if (!signal.perSecond) {
        const bool ends = signals.limit && signal.sentAt >= signals.limit->learnedAt;
        if (ends) {
            signals.limit.reset();
        }
        return ends ? LimitChange::Ended : LimitChange::None;
    }
    const LimitTerms terms{.perSecond = *signal.perSecond, .entryVms = signal.entryVms};
    if (!signals.limit) {
        signals.limit = startLimit(terms, random, now);
        return LimitChange::Named;
    }
    const bool changed = signals.limit->terms.perSecond != terms.perSecond;
    changeLimit(*signals.limit, terms, random, now);
    return changed ? LimitChange::Changed : LimitChange::None;
}

bool acceptsRequests(const TargetSignals &signals, Millis now)
{
    return !signals.draining && acceptsRequestsFrom(signals, now) <= now;
}

Millis acceptsRequestsFrom(const TargetSignals &signals, Millis now)
{
    const Millis turn = signals.limit ? nextTurn(*signals.limit, now) : now;
    return std::max(signals.backoffUntil, turn);
}

Millis suggestedPause(const TargetSignals &signals, Millis now)
{
    const Millis backoff = std::max(signals.backoffUntil - now, Millis{0});
    if (!signals.limit) {
        return backoff;
    }
    const Millis ownTurn = nextTurn(*signals.limit, now) - now;
    return std::max(backoff, std::min(ownTurn, signals.limit->interval / std::max(signals.limit->terms.entryVms, 1)));
}

} // namespace ibislock::serving
