#include "ibislock/requests/prefix_index.h"
#include "ibislock/requests/routing.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace ibislock::requests
{

namespace
{

std::vector<std::uint64_t> blocksOf(char fill, std::size_t blocks)
{
    return prefixBlocks("dala/forecast", std::string(blocks * PrefixBlockBytes, fill));
}

/// Routes requests of several entry processes. They start from the same stale view of the loads, and after that each
/// sees only its own choices.
std::vector<std::uint32_t> routeFromMany(RoutingPolicy policy, std::uint64_t firstBlock)
{
    constexpr std::size_t Entries = 8;
    constexpr std::size_t Targets = 16;
    constexpr int RequestsPerEntry = 20;
    std::vector<std::uint32_t> sent(Targets);
    for (std::size_t entry = 0; entry < Entries; ++entry) {
        RouteState state{.random = Random(entry + 1)};
        std::vector<Candidate> view(Targets, Candidate{.sameDomain = true, .load = 5});
        view[3].load = 0;
        for (std::size_t i = 0; i < Targets; ++i) {
            view[i].affinity = firstBlock == 0 ? 0 : affinityOf(firstBlock, i);
        }
        for (int i = 0; i < RequestsPerEntry; ++i) {
            const std::size_t chosen = *chooseTarget(policy, view, state);
            ++view[chosen].load;
            ++sent[chosen];
        }
    }
    return sent;
}

TEST(RoutingTest, EntryProcessesWithTheSameStaleViewDoNotHerd)
{
    for (const RoutingPolicy policy : {RoutingPolicy::TwoChoices, RoutingPolicy::Prefix}) {
        const auto sent = routeFromMany(policy, 0);
        EXPECT_LE(*std::max_element(sent.begin(), sent.end()), 3 * 160U / 16) << nameOf(RoutingPolicyNames, policy);
    }
}

TEST(RoutingTest, AHotPrefixUsesSeveralTargetsInTheSameOrderFromEveryEntry)
{
    const auto sent = routeFromMany(RoutingPolicy::Prefix, 42);
    const auto used = std::count_if(sent.begin(), sent.end(), [](std::uint32_t it) { return it > 0; });
    EXPECT_GE(used, 4) << "one prefix must not be sent to one target only";
    auto sorted = sent;
    std::sort(sorted.rbegin(), sorted.rend());
    EXPECT_GE(sorted[0] + sorted[1], 160U / 4)
        << "the first two targets of the rendezvous order must receive more than an equal share";
}

TEST(RoutingTest, SpillsOverWhenTheOwnDomainIsSaturated)
{
    RouteState state{.random = Random(1)};
    const std::vector<Candidate> candidates{{.load = 4}, {.sameDomain = true, .saturated = true, .load = 0}};
    for (const auto &[policy, name] : RoutingPolicyNames) {
        EXPECT_EQ(chooseTarget(policy, candidates, state), 0U) << name;
    }
}

TEST(RoutingTest, UsesTheTargetWithThePrefixOnlyWithinTheLoadBound)
{
    RouteState state{.random = Random(1)};
    std::vector<Candidate> candidates(4, Candidate{.sameDomain = true, .load = 4});
    candidates[2].prefixBlocks = 3;
    EXPECT_EQ(chooseTarget(RoutingPolicy::Prefix, candidates, state), 2U);
    candidates[2].load = 40;
    EXPECT_NE(chooseTarget(RoutingPolicy::Prefix, candidates, state), 2U);
}

TEST(PrefixIndexTest, FindsTheLongestKnownPrefixUntilItExpires)
{
    PrefixIndex index{.options = {.lifetime = Millis(100)}};
    recordSend(index, blocksOf('a', 3), 7, Millis(0));
    const auto matches = findMatches(index, blocksOf('a', 5), Millis(50));
    ASSERT_EQ(matches.size(), 1U);
    EXPECT_EQ(matches[0].target, 7U);
    EXPECT_EQ(matches[0].blocks, 3U);
    EXPECT_TRUE(findMatches(index, blocksOf('b', 5), Millis(50)).empty());
    EXPECT_TRUE(findMatches(index, blocksOf('a', 5), Millis(100)).empty());
}

TEST(PrefixIndexTest, ShortensTheLifetimeOfATargetThatEvictedAPrefix)
{
    PrefixIndex index{.options = {.lifetime = Millis(10000)}};
    recordCachedBlocks(index, 7, 4, 0);
    recordSend(index, blocksOf('a', 1), 7, Millis(0));
    EXPECT_TRUE(findMatches(index, blocksOf('a', 1), Millis(5000)).empty());
    recordCachedBlocks(index, 7, 4, 4);
    recordSend(index, blocksOf('a', 1), 7, Millis(0));
    EXPECT_FALSE(findMatches(index, blocksOf('a', 1), Millis(5000)).empty());
}

TEST(PrefixIndexTest, StaysWithinItsCapacity)
{
    PrefixIndex index{.options = {.blocksMax = 10}};
    for (char fill = 'a'; fill <= 'z'; ++fill) {
        recordSend(index, blocksOf(fill, 2), 1, Millis(0));
    }
    EXPECT_LE(index.blocks.size(), 10U);
    EXPECT_FALSE(findMatches(index, blocksOf('z', 2), Millis(1)).empty()) << "the newest blocks are kept";
}

} // namespace

} // namespace ibislock::requests
