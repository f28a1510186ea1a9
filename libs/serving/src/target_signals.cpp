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

bool acceptsRequests(const TargetSignals &signals, Millis now)
{
    return !signals.draining && now >= signals.backoffUntil;
}

} // namespace ibislock::serving
