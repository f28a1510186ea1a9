// How many requests a target hands to its engine at the same time. The limit adapts: the engine's own queue should stay
// short, since the order in it is not ours, and its slots should stay filled.
//
//     ConcurrencyLimit limit = makeLimit({.initial = 8});
//     adjust(limit, {.inFlight = 8, .running = 4, .queued = 4});     // limit.value becomes 5
//
// The engine's report lags, so the limit moves once for each new report: up by one while it is reached and the engine
// queues nothing, and down to what the engine runs, and one, when it queues more than one.

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>

namespace ibislock::requests
{

/// Bounds of a limit.
struct ConcurrencyLimitOptions
{
    std::uint32_t initial = 8;
    std::uint32_t min = 1;
    std::uint32_t max = 64;
};

/// A limit.
struct ConcurrencyLimit
{
    ConcurrencyLimitOptions options;
    std::uint32_t value = 1;
};

/// What the engine reports, and what the target has handed to it.
struct EngineLoad
{
    std::uint32_t inFlight = 0; ///< Requests that the target has handed over and that have not ended.
    std::uint32_t running = 0; ///< Requests that the engine says it runs.
    std::uint32_t queued = 0; ///< Requests that the engine says it holds back.
};

/// Makes a limit at its initial value.
ConcurrencyLimit makeLimit(const ConcurrencyLimitOptions &options);

/// Adjusts the limit to a report of the engine.
void adjust(ConcurrencyLimit &limit, const EngineLoad &load);

} // namespace ibislock::requests
