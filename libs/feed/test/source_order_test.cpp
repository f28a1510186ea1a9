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

} // namespace

} // namespace ibislock::feed
