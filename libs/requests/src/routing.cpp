#include "ibislock/requests/routing.h"

#include <algorithm>
#include <xxhash.h>

namespace ibislock::requests
{

namespace
{

/// The prefix policy uses a target only if its load is at most the mean load times the factor, plus the slack.
constexpr double LoadBoundFactor = 1.25;
constexpr double LoadBoundSlack = 1;

/// The subset of the candidates that a policy chooses from.
struct Pool
{
    std::span<const Candidate> candidates;
    bool localOnly = false;
    bool unsaturatedOnly = false;
    std::size_t size = 0;
    std::uint64_t load = 0;

    bool contains(const Candidate &candidate) const
    {
        return (!localOnly || candidate.sameDomain) && (!unsaturatedOnly || !candidate.saturated);
    }

    /// Returns the index among all candidates of the n-th candidate in the pool.
    std::size_t at(std::size_t n) const
    {
        if (size == candidates.size()) {
            return n;
        }
        for (std::size_t i = 0;; ++i) {
            if (contains(candidates[i]) && n-- == 0) {
                return i;
            }
        }
    }
};

/// Returns the first non-empty pool of: unsaturated targets of the own domain, all unsaturated targets, all targets of
/// the own domain, all targets.
Pool poolOf(std::span<const Candidate> candidates)
{
    Pool pool{.candidates = candidates};
    for (const auto &[local, unsaturated] : {std::pair(true, true), {false, true}, {true, false}, {false, false}}) {
        pool.localOnly = local;
        pool.unsaturatedOnly = unsaturated;
        pool.size = 0;
        pool.load = 0;
        for (const Candidate &candidate : candidates) {
            if (pool.contains(candidate)) {
                ++pool.size;
                pool.load += candidate.load;
            }
        }
        if (pool.size > 0) {
            break;
        }
    }
    return pool;
}

std::size_t pickRandom(const Pool &pool, RouteState &state)
{
    return pool.at(std::uniform_int_distribution<std::size_t>(0, pool.size - 1)(state.random));
}

std::size_t pickTwoChoices(const Pool &pool, RouteState &state)
{
    const std::size_t a = pickRandom(pool, state);
    const std::size_t b = pickRandom(pool, state);
    return pool.candidates[b].load < pool.candidates[a].load ? b : a;
}

std::size_t pickLeastLoaded(const Pool &pool)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < pool.candidates.size(); ++i) {
        const Candidate &candidate = pool.candidates[i];
        if (pool.contains(candidate) && (!best || candidate.load < pool.candidates[*best].load)) {
            best = i;
        }
    }
    return *best;
}

/// Finds the target that holds most of the prompt among those whose load is within the bound.
std::optional<std::size_t> pickLongestPrefix(const Pool &pool, double bound)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < pool.candidates.size(); ++i) {
        const Candidate &candidate = pool.candidates[i];
        if (!pool.contains(candidate) || candidate.prefixBlocks == 0 || candidate.load > bound) {
            continue;
        }
        const bool better = !best || candidate.prefixBlocks > pool.candidates[*best].prefixBlocks
            || (candidate.prefixBlocks == pool.candidates[*best].prefixBlocks
                && candidate.affinity > pool.candidates[*best].affinity);
        if (better) {
            best = i;
        }
    }
    return best;
}

/// Finds the first target in the prompt's rendezvous order whose load is within the bound.
std::optional<std::size_t> pickByAffinity(const Pool &pool, double bound)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < pool.candidates.size(); ++i) {
        const Candidate &candidate = pool.candidates[i];
        if (!pool.contains(candidate) || candidate.affinity == 0 || candidate.load > bound) {
            continue;
        }
        if (!best || candidate.affinity > pool.candidates[*best].affinity) {
            best = i;
        }
    }
    return best;
}

std::size_t pickByPrefix(const Pool &pool, RouteState &state)
{
    const double mean = static_cast<double>(pool.load) / static_cast<double>(pool.size);
    const double bound = LoadBoundFactor * mean + LoadBoundSlack;
    if (const auto longest = pickLongestPrefix(pool, bound)) {
        return *longest;
    }
    if (const auto preferred = pickByAffinity(pool, bound)) {
        return *preferred;
    }
    return pickTwoChoices(pool, state);
}

} // namespace

std::uint64_t affinityOf(std::uint64_t firstBlock, std::uint64_t target)
{
    return XXH3_64bits_withSeed(&target, sizeof(target), firstBlock) | 1U;
}

std::optional<std::size_t> chooseTarget(RoutingPolicy policy, std::span<const Candidate> candidates, RouteState &state)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const Pool pool = poolOf(candidates);
    switch (policy) {
    case RoutingPolicy::Random:
        return pickRandom(pool, state);
    case RoutingPolicy::RoundRobin:
        return pool.at(state.roundRobinCount++ % pool.size);
    case RoutingPolicy::LeastLoaded:
        return pickLeastLoaded(pool);
    case RoutingPolicy::TwoChoices:
        return pickTwoChoices(pool, state);
    case RoutingPolicy::Prefix:
        return pickByPrefix(pool, state);
    }
    return std::nullopt;
}

} // namespace ibislock::requests
