// Chooses the target of a request.
//
//     RouteState state{.random = systemRandom()};
//     std::optional<std::size_t> chosen = chooseTarget(RoutingPolicy::Prefix, candidates, state);
//
// Targets of the entry's own failure domain are preferred, unless all of them are saturated. The prefix policy chooses
// the target that is expected to hold most of the prompt's prefix in its cache, otherwise the first in the rendezvous
// order of the prefix, which all entry processes compute alike. In both cases it considers only targets whose load is
// not far above the mean (consistent hashing with bounded loads). Without a prefix it takes the less loaded of two
// random targets. Prefixes with many requests are thus distributed over several targets, while others stay in few
// caches.

#pragma once

#include "ibislock/base/names.h"
#include "ibislock/base/random.h"

#include <cstdint>
#include <optional>
#include <span>

namespace ibislock::requests
{

/// The policy that chooses among the usable targets.
enum class RoutingPolicy { Random, RoundRobin, LeastLoaded, TwoChoices, Prefix };

/// Names of the policies in the settings.
inline constexpr NameTable<RoutingPolicy, 5> RoutingPolicyNames{{
    {RoutingPolicy::Random, "random"},
    {RoutingPolicy::RoundRobin, "round-robin"},
    {RoutingPolicy::LeastLoaded, "least-loaded"},
    {RoutingPolicy::TwoChoices, "two-choices"},
    {RoutingPolicy::Prefix, "prefix"},
}};

/// A target that the request could be sent to.
struct Candidate
{
    bool sameDomain = false;
    bool saturated = false; ///< The target queues requests, or recently refused one.
    std::uint32_t load = 0; ///< Reported load plus the requests sent by this entry since that report.
    std::uint32_t prefixBlocks = 0; ///< Leading blocks of the prompt that the target is expected to hold.
    std::uint64_t affinity = 0; ///< Rendezvous weight of the target for the prompt's first block; 0 without a prompt.
};

/// State of a routing policy that is kept between requests.
struct RouteState
{
    Random random;
    std::uint64_t roundRobinCount = 0; ///< Requests routed so far by the round-robin policy.
};

/// Returns the rendezvous weight of a target for the first block of a prompt; equal in all entry processes and never 0.
std::uint64_t affinityOf(std::uint64_t firstBlock, std::uint64_t target);

/// Chooses a target.
/// @return the index of the target in `candidates`, or nothing if there is no candidate.
std::optional<std::size_t> chooseTarget(RoutingPolicy policy, std::span<const Candidate> candidates, RouteState &state);

} // namespace ibislock::requests
