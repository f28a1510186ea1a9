// Replays a load against the decisions of entry VMs in virtual time: callers, entry VMs that admit and place with the
// product's own code, and a model of the engines. The same seed gives the same outcome.
//
//     ReplayOutcome outcome = replay(*findPattern("burst"), *findPolicy("product"), 1);
//     worthShare(outcome);

#pragma once

#include "ibislock/base/names.h"
#include "simulation/load_pattern.h"
#include "simulation/load_policy.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ibislock::lab
{

/// How a caller's request ended, over all its tries.
enum class ReplayEnd { OnTime, Late, Refused, Lost, Left };

/// Names of the ends in tables.
inline constexpr NameTable<ReplayEnd, 5> ReplayEndNames{{
    {ReplayEnd::OnTime, "on time"},
    {ReplayEnd::Late, "late"},
    {ReplayEnd::Refused, "refused"},
    {ReplayEnd::Lost, "lost"},
    {ReplayEnd::Left, "left"},
}};

/// What became of the requests that arrived in a second.
struct ReplaySecond
{
    std::array<int, 5> ends{}; ///< By `ReplayEnd`.
    int waiting = 0; ///< At its end, at all entry VMs.
    double occupancy = 0; ///< At its end, requests per slot of the engines that serve.
};

/// The outcome of a replay.
struct ReplayOutcome
{
    std::array<int, 5> ends{}; ///< By `ReplayEnd`; callers that left by themselves are not owed anything.
    std::map<std::string, std::array<int, 5>> byShape;
    std::array<std::array<int, 5>, 3> bySize{}; ///< The largest tenth of the prompts, the fifth below it, and the rest.
    std::map<int, std::array<int, 5>> byWorkspace;
    double worthOwed = 0;
    double worthEarned = 0;
    double worthBound = 0; ///< What could be earned with perfect knowledge.
    int sends = 0; ///< To engines, repeats included.
    int rejected = 0; ///< By engines, because their queues were full.
    double heldMs = 0; ///< Time that refused tries were held, on average.
    std::vector<ReplaySecond> seconds;
};

/// Replays a load.
ReplayOutcome replay(const LoadPattern &pattern, const LoadPolicy &policy, std::uint64_t seed);

/// The part of what is owed that was earned.
double worthShare(const ReplayOutcome &outcome);

/// The part of requests that was served, on time or late.
double servedShare(const std::array<int, 5> &ends);

/// The part of requests that was served on time.
double onTimeShare(const std::array<int, 5> &ends);

/// The part of what could be earned that was earned.
double boundShare(const ReplayOutcome &outcome);

} // namespace ibislock::lab
