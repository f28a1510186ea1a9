// What an entry VM counts, with histograms of fixed buckets.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/front/call_outcome.h"

#include <array>
#include <cstdint>
#include <string>

namespace ibislock::front
{

/// Upper ends of the buckets of the latency histograms, in milliseconds; the objectives lie at 100 to 500 ms.
inline constexpr std::array<std::int64_t, 12> LatencyBuckets{5, 10, 25, 50, 100, 150, 250, 400, 500, 1000, 2500, 6000};

/// A histogram of latencies.
struct LatencyHistogram
{
    std::array<std::uint64_t, LatencyBuckets.size() + 1> counts{};
    std::int64_t sumMs = 0;
};

/// Adds a latency.
void observe(LatencyHistogram &histogram, Millis latency);

/// All counters of an entry VM.
struct FrontCounters
{
    std::array<std::uint64_t, CallOutcomeCount> outcomes{};
    std::uint64_t sends = 0;
    std::uint64_t repeatedSends = 0;
    std::uint64_t retriesWithoutBudget = 0;
    LatencyHistogram waited; ///< Until the first send.
    LatencyHistogram firstEvent; ///< Until the first bytes of an answer.
    LatencyHistogram whole; ///< Until the end of an answer.
};

/// Writes all counters in the text exposition format.
void writeCounters(std::string &out, const FrontCounters &counters);

} // namespace ibislock::front
