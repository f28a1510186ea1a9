// Counters and latency histograms of an entry VM.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/front/call_outcome.h"

#include <array>
#include <cstdint>
#include <string>

namespace ibislock::front
{

/// Upper bounds of the histogram buckets in milliseconds. Latency objectives range from 100 to 500 ms.
inline constexpr std::array<std::int64_t, 12> LatencyBucketsMs{5,   10,  25,  50,   100,  150,
                                                               250, 400, 500, 1000, 2500, 6000};

/// A latency histogram; its last bucket has no upper bound.
struct LatencyHistogram
{
    std::array<std::uint64_t, LatencyBucketsMs.size() + 1> counts{};
    std::int64_t sumMs = 0;
};

/// Adds a latency to a histogram.
void observe(LatencyHistogram &histogram, Millis latency);

/// All counters of an entry VM.
struct FrontCounters
{
    std::array<std::uint64_t, CallOutcomeCount> outcomes{};
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesWithoutBudget = 0;
    std::uint64_t silentTargetsPassedOver = 0; ///< Requests sent to another target as well, as theirs was silent.
    std::uint64_t silentTargetsResponded = 0; ///< Requests that such a silent target responded to after all.
    std::uint64_t choicesWithoutTurn = 0; ///< Choices of targets in which a limit left this VM no turn.
    std::uint64_t choicesOutsideRegions = 0; ///< Choices that left out targets because of the request's regions.
    std::uint64_t choicesEvacuated = 0; ///< Choices that left out targets in evacuated domains.
    std::uint64_t choicesWithoutColdTurn = 0; ///< Choices in which a cold target left this VM no turn.
    std::uint64_t attemptsAtColdTargets = 0; ///< Attempts at targets that weren't known to be warm.
    std::uint64_t sendsWithoutCaller = 0; ///< Sends that were left out as the caller had left.
    std::uint64_t sendsWithheld = 0; ///< Sends that were left out as the target was closed to the request meanwhile.
    std::uint64_t refusalsLeftToOthers = 0; ///< Refusals while free slots were left to other entry VMs.
    Millis maxListingsAge{0}; ///< The greatest age of the listings by which a target was chosen.
    std::uint64_t attemptsAtUnlistedTargets = 0; ///< Attempts at targets whose listing was known to be removed.
    Millis maxUnlistedUse{0}; ///< The longest time after which a target was chosen whose listing had been removed.
    LatencyHistogram waitTime; ///< From the request until its first attempt.
    LatencyHistogram timeToFirstByte; ///< From the request until the first bytes of the response.
    LatencyHistogram totalTime; ///< From the request until its end.
};

/// Appends all counters in the Prometheus text exposition format.
void writeCounters(std::string &out, const FrontCounters &counters);

} // namespace ibislock::front
