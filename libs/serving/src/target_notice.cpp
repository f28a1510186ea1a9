#include "ibislock/serving/target_notice.h"

#include <algorithm>

namespace ibislock::serving
{

void noteLeaving(TargetNotice &notice)
{
    notice.leaving = true;
}

void notePause(TargetNotice &notice, Millis pause, Millis now)
{
    notice.pauseUntil = std::max(notice.pauseUntil, now + std::min(pause, LongestPause));
}

bool admits(const TargetNotice &notice, Millis now)
{
    return !notice.leaving && now >= notice.pauseUntil;
}

} // namespace ibislock::serving
