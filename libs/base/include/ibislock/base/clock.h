// Clocks and the type of all times and durations.
//
// Functions that make decisions take the current time as an argument, `Millis now`. Daemons read `steadyMillis()` once
// per step and pass the value to all of them; tests pass any time that they need.

#pragma once

#include <chrono>
#include <functional>

namespace ibislock
{

/// A point in monotonic time, or a duration, in milliseconds.
using Millis = std::chrono::milliseconds;

/// A source of monotonic time.
using Clock = std::function<Millis()>;

/// Reads the process's monotonic clock.
/// @return the time since an arbitrary start.
Millis steadyMillis();

/// Reads the clock that also counts the time for which the machine was suspended. The ages that VMs report to each
/// other are measured with it; otherwise a VM that resumes from suspension would report stale information as current.
/// @return the time since the machine was booted.
Millis bootMillis();

/// Reads the wall clock, for timestamps that people read. Decisions compare it only with times of the same machine, and
/// only where nothing else is known, as it may jump.
/// @return the time since the Unix epoch.
Millis wallMillis();

} // namespace ibislock
