#include "ibislock/serving/target_signals.h"

#include <algorithm>

namespace ibislock::serving
{

void recordDraining(TargetSignals &notice)
{
    notice.draining = true;
}

void recordBackoff(TargetSignals &notice, Millis pause, Millis now)
{
    notice.backoffUntil = std::max(notice.backoffUntil, now + std::min(pause, MaxBackoff));
}

bool acceptsRequests(const TargetSignals &notice, Millis now)
{
    return !notice.draining && now >= notice.backoffUntil;
}

} // namespace ibislock::serving
