// Time as an argument.
//
// Decision functions take `Millis now`. Daemons read `steadyMillis()` once per step and pass it on; tests pass
// whatever they need.

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

/// Reads the clock that also counts the time for which the machine was suspended. Ages that one VM tells another are
/// measured with it, or a VM that wakes up would pass on old facts as new.
/// @return the time since the machine's start.
Millis bootMillis();

/// Reads the wall clock, for records that people read; no decision depends on it.
/// @return the time since the Unix epoch.
Millis wallMillis();

} // namespace ibislock
