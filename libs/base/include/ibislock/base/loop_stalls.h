// How long the event loop of a daemon was held up, seen by a tick that runs late.
//
//     tellLateTick(stalls, m_tickDueAt, steadyMillis(), Part::Side);
//     writeStalls(out, stalls);

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/log.h"

#include <optional>

namespace ibislock
{

/// A tick that is late by this much is told: half of the time that a connection to a target may take.
inline constexpr Millis StallReportThreshold{200};

/// What is known of the pauses of a loop.
struct LoopStalls
{
    Millis longest{0}; ///< By how much a tick was late at most.
};

/// Notes that a tick runs.
/// @param dueAt when it was due; 0 for the first one, which can't be late.
/// @return by how much it is late, if that is to be told.
std::optional<Millis> recordTick(LoopStalls &stalls, Millis dueAt, Millis now);

/// Notes that a tick runs, and writes a line if it is late by `StallToTell` or more.
/// @param dueAt when it was due; 0 for the first one.
/// @param part the daemon's own.
void reportLateTick(LoopStalls &stalls, Millis dueAt, Millis now, LogComponent component);

/// Writes the gauge of the longest pause.
void writeStallMetrics(std::string &out, const LoopStalls &stalls);

} // namespace ibislock
