#include "ibislock/base/loop_stalls.h"

#include "ibislock/base/metrics_text.h"

#include <algorithm>

namespace ibislock
{

std::optional<Millis> recordTick(LoopStalls &stalls, Millis dueAt, Millis now)
{
    const Millis stall = dueAt > Millis{0} ? now - dueAt : Millis{0};
    stalls.longest = std::max(stalls.longest, stall);
    return stall >= StallReportThreshold ? std::optional(stall) : std::nullopt;
}

void reportLateTick(LoopStalls &stalls, Millis dueAt, Millis now, LogComponent component)
{
    if (const auto stall = recordTick(stalls, dueAt, now)) {
        logWarning(component, "The event loop stalled.", {{"stall_ms", std::to_string(stall->count())}});
    }
}

void writeStallMetrics(std::string &out, const LoopStalls &stalls)
{
    writeGauge(out, "ibislock_loop_longest_stall_ms", "By how much the event loop was late at most since the start.",
               stalls.longest.count());
}

} // namespace ibislock
