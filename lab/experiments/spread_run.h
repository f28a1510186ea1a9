// Runs the spread experiment: a deployment, one burst, faults on the way, and what came of it.

#pragma once

#include "experiments/spread_options.h"

namespace ibislock::lab
{

/// What came of a run.
struct SpreadResult
{
    bool isComplete = false;
    double secondsToAll = 0;
    double secondsToHalf = 0;
    double originCopies = 0;
    double pairCopiesMax = 0;
    std::uint64_t corruptAccepted = 0; ///< Engines that loaded weights which no version names.
    std::uint64_t mixedServing = 0; ///< Callers' answers from partial, mixed or another's weights.
    double duplicatePercent = 0;
    std::uint64_t corruptDropped = 0;
    std::uint64_t chunkCalls = 0;
    std::uint64_t chunkRefusals = 0;
    std::uint64_t chunkTimeouts = 0;
    std::uint64_t holdingsCalls = 0;
    std::uint64_t versionsRefused = 0;
    double cpuSeconds = 0;
    double peakRssMb = 0;
    double liveP95Ms = 0;
    double liveP95MsIdle = 0;
    std::uint64_t liveAnswered = 0;
};

/// Runs the experiment once.
SpreadResult runSpreadOnce(const SpreadOptions &options);

} // namespace ibislock::lab
