// A planned stop, as charts/drain.chart says: refuse new work, wait for the work in progress, stop.
//
//     std::uint32_t left = drain({.refuse = [&] { leaving = true; },
//                                 .wait = [&](Millis time) { return requestsLeftAfter(time); },
//                                 .grace = Millis(10000)});

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <functional>

namespace ibislock::node
{

/// What a drain does with its daemon.
struct DrainOptions
{
    std::function<void()> refuse; ///< Makes the daemon refuse new work.
    std::function<std::uint32_t(Millis)> wait; ///< Waits for the work in progress; gives what is left after the time.
    Millis grace{10000}; ///< How long the work in progress may take.
};

/// Drains a daemon.
/// @return how many requests were left when the time had run out.
std::uint32_t drain(const DrainOptions &options);

} // namespace ibislock::node
