// Which target gets a request.
//
//     RouteState state{.random = systemRandom()};
//     std::optional<std::size_t> chosen = chooseTarget(RoutingPolicy::Prefix, candidates, state);
//
// Targets of the entry's own domain go first, unless all of them are saturated. The prefix policy follows the prompt's
// prefix: to the target that is believed to hold most of it, else to the first in an order of homes that every entry
// process works out alike, and in either case only among targets whose load is not far above the mean. Without a prefix
// it takes the better of two random targets. So hot prefixes spread, and cold ones stay in few caches.

#pragma once

#include "ibislock/base/names.h"
#include "ibislock/base/random.h"

#include <cstdint>
#include <optional>
#include <span>

namespace ibislock::requests
{

/// How a target is chosen among the usable ones.
enum class RoutingPolicy { Random, RoundRobin, LeastLoaded, TwoChoices, Prefix };

/// External names of the policies, as in the settings.
inline constexpr NameTable<RoutingPolicy, 5> RoutingPolicyNames{{
    {RoutingPolicy::Random, "random"},
    {RoutingPolicy::RoundRobin, "round-robin"},
    {RoutingPolicy::LeastLoaded, "least-loaded"},
    {RoutingPolicy::TwoChoices, "two-choices"},
    {RoutingPolicy::Prefix, "prefix"},
}};

/// A target that could take the request.
struct Candidate
{
    bool sameDomain = false;
    bool saturated = false; ///< It holds requests back, or refused one of late.
    std::uint32_t load = 0; ///< Its reported load, and what this entry has sent that the report leaves out.
    std::uint32_t prefixBlocks = 0; ///< Leading blocks of the prompt that it is believed to hold.
    std::uint64_t affinity = 0; ///< Hash of the prompt's beginning and the target; zero without a prompt.
};

/// What a chooser carries from one request to the next.
struct RouteState
{
    Random random;
    std::uint64_t roundRobinCount = 0; ///< For round-robin.
};

/// Mixes a prompt's beginning and a target into a rank; entry processes work out the same ranks.
std::uint64_t affinityOf(std::uint64_t firstBlock, std::uint64_t target);

/// Chooses a target.
/// @return the index of the target, or nothing when there is none.
std::optional<std::size_t> chooseTarget(RoutingPolicy policy, std::span<const Candidate> candidates, RouteState &state);

} // namespace ibislock::requests
