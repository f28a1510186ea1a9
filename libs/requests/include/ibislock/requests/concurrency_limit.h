// Adaptive limit on the number of requests that a target sends to its engine concurrently. The engine's own queue
// should stay short, because its order ignores fair shares and priorities, while the engine's slots should stay busy.
//
//     ConcurrencyLimit limit = makeLimit({.initial = 8});
//     adjust(limit, {.inFlight = 8, .running = 4, .queued = 4});     // limit.value becomes 5
//
// The engine's report lags, so the limit is adjusted once for each new report. It grows by one if it is reached and the
// engine queues nothing. It falls to the number of running requests plus one if the engine queues more than one.

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>

namespace ibislock::requests
{

/// Initial value and bounds of a concurrency limit, in requests.
struct ConcurrencyLimitOptions
{
    std::uint32_t initial = 8;
    std::uint32_t min = 1;
    std::uint32_t max = 64;
};

/// A concurrency limit and its current value.
struct ConcurrencyLimit
{
    ConcurrencyLimitOptions options;
    std::uint32_t value = 1;
};

/// The load that the engine reports, and the requests that the target has sent to it.
struct EngineLoad
{
    std::uint32_t inFlight = 0; ///< Requests that the target has sent and that have not completed.
    std::uint32_t running = 0; ///< Requests that the engine reports as running.
    std::uint32_t queued = 0; ///< Requests that the engine reports as queued.
};

/// Creates a limit with its initial value, clamped to the bounds.
ConcurrencyLimit makeLimit(const ConcurrencyLimitOptions &options);

/// Adjusts the limit to a new load report of the engine.
void adjust(ConcurrencyLimit &limit, const EngineLoad &load);

} // namespace ibislock::requests
