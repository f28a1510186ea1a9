// Detects stalls of a daemon's event loop by the delay of its periodic tick.
//
//     reportLateTick(stalls, m_tickDueAt, steadyMillis(), LogComponent::Side);
//     writeStallMetrics(out, stalls);

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/log.h"

#include <optional>

namespace ibislock
{

/// A tick that is late by at least this time is logged; it is half of the connect timeout to a target.
inline constexpr Millis StallReportThreshold{200};

/// The stalls of an event loop.
struct LoopStalls
{
    Millis longest{0}; ///< The longest delay of a tick.
};

/// Records that a tick runs.
/// @param dueAt when the tick was due; 0 for the first one, which can't be late.
/// @return the delay of the tick, if it is at least `StallReportThreshold`.
std::optional<Millis> recordTick(LoopStalls &stalls, Millis dueAt, Millis now);

/// Records that a tick runs, and logs it if it is late by at least `StallReportThreshold`.
/// @param dueAt when the tick was due; 0 for the first one.
/// @param component the component of the daemon.
void reportLateTick(LoopStalls &stalls, Millis dueAt, Millis now, LogComponent component);

/// Writes the gauge of the longest stall.
void writeStallMetrics(std::string &out, const LoopStalls &stalls);

} // namespace ibislock
