#include "ibislock/feed/source_order.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace ibislock::feed
{

namespace
{

std::vector<std::string> someVms(std::size_t count)
{
    std::vector<std::string> out;
    for (std::size_t n = 0; n < count; ++n) {
        out.push_back("10.0.0." + std::to_string(n));
    }
    return out;
}

TEST(SourceOrderTest, AVmThatKnowsNoOtherReadsTheStore)
{
    EXPECT_TRUE(sourcesInTree("10.0.0.1", {}).empty());
    EXPECT_TRUE(sourcesInTree("10.0.0.1", {"10.0.0.1"}).empty());
    EXPECT_TRUE(sourcesOutsideTree("10.0.0.1", {"10.0.0.1"}).empty());
}

TEST(SourceOrderTest, AVmThatTheStoreRejectsHasOthersAsSourcesAndNeverItself)
{
    const auto vms = someVms(8);
    std::set<std::string> first;
    for (const std::string &vm : vms) {
        const auto sources = sourcesOutsideTree(vm, vms);
        EXPECT_EQ(sources.size(), MaxSources);
        EXPECT_EQ(std::count(sources.begin(), sources.end(), vm), 0);
        first.insert(sources.front());
    }
    EXPECT_GT(first.size(), 2U) << "not all have the same first source";
}

// Guards against overload when up to 39 entry VMs of a domain lack a state of hundreds of kilobytes at the same moment.
RC_GTEST_PROP(SourceOrderProperty, EachVmOfADomainDescendsFromTheOneThatReadsTheStore, ())
{
    const auto vms = someVms(*rc::gen::inRange<std::size_t>(1, 40));
    std::map<std::string, std::string> parents;
    std::map<std::string, std::size_t> childCounts;
    std::size_t readers = 0;
    for (const std::string &vm : vms) {
        const auto sources = sourcesInTree(vm, vms);
        if (sources.empty()) {
            ++readers;
        } else {
            parents[vm] = sources.front();
            ++childCounts[sources.front()];
        }
    }
    RC_ASSERT(readers == 1U);
    for (const auto &[vm, count] : childCounts) {
        RC_ASSERT(count <= TreeFanOut);
    }
    for (std::string vm : vms) {
        std::size_t hops = 0;
        for (auto it = parents.find(vm); it != parents.end(); it = parents.find(vm)) {
            vm = it->second;
            RC_ASSERT(++hops <= 3U);
        }
    }
}

// For some seconds, two VMs may know different sets of entry VMs; neither may wait for the other then.
RC_GTEST_PROP(SourceOrderProperty, NoTwoVmsWaitForEachOtherWhicheverEntryVmsTheyKnow, ())
{
    const auto vms = someVms(12);
    const auto randomSubset = [&] {
        std::vector<std::string> out;
        for (const std::string &vm : vms) {
            if (*rc::gen::arbitrary<bool>()) {
                out.push_back(vm);
            }
        }
        return out;
    };
    std::map<std::string, std::string> parents;
    for (const std::string &vm : vms) {
        const auto sources = sourcesInTree(vm, randomSubset());
        if (!sources.empty()) {
            parents[vm] = sources.front();
        }
    }
    for (const std::string &vm : vms) {
        std::size_t hops = 0;
        for (auto it = parents.find(vm); it != parents.end(); it = parents.find(it->second)) {
            RC_ASSERT(++hops < vms.size());
        }
    }
}

TEST(StoreTurnsTest, ReadsInATimeDoNotGrowWithTheNumberOfVms)
{
    constexpr Millis First{900};
    constexpr Millis Interval{450};
    for (const int n : {2, 30, 300}) {
        std::vector<std::string> vms;
        for (int k = 0; k < n; ++k) {
            vms.push_back("10.0." + std::to_string(k / 100) + "." + std::to_string(k % 100));
        }
        const StoreTurns turns = storeTurns(vms, First, Interval);
        for (Millis lag{0}; lag < Millis{20000}; lag += Millis{150}) {
            const auto reading = std::count_if(vms.begin(), vms.end(),
                                               [&](const std::string &vm) { return hasStoreTurn(turns, vm, lag); });
            EXPECT_EQ(reading, lag < First ? 1 : 2) << n << " VMs, " << lag.count() << " ms";
        }
    }
}

TEST(StoreTurnsTest, EachVmHasATurn)
{
    const std::vector<std::string> vms{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"};
    const StoreTurns turns = storeTurns(vms, Millis{900}, Millis{450});
    std::vector<std::string> recent = recentStoreTurns(turns, Millis{900 + 2 * 450}, vms.size());
    EXPECT_EQ(recent.size(), vms.size() - 1);
    EXPECT_TRUE(hasStoreTurn(turns, recent.front(), Millis{900 + 2 * 450})) << "the latest comes first";
    recent.push_back(turns.order.front());
    EXPECT_TRUE(std::is_permutation(recent.begin(), recent.end(), vms.begin(), vms.end()));
    EXPECT_TRUE(recentStoreTurns(turns, Millis{899}, vms.size()).empty());
}

TEST(StoreTurnsTest, AVmThatKnowsNoOtherMayAlwaysRead)
{
    const StoreTurns turns = storeTurns({"10.0.0.1"}, Millis{900}, Millis{450});
    EXPECT_TRUE(hasStoreTurn(turns, "10.0.0.1", Millis{5000}));
    EXPECT_TRUE(recentStoreTurns(turns, Millis{5000}, 3).empty());
}

} // namespace

} // namespace ibislock::feed
