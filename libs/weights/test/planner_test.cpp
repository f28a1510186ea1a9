#include "swarm_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ibislock::weights::testing
{

namespace
{

SimulationOptions anyOptions()
{
    return {.vms = *rc::gen::inRange(3U, 14U),
            .domains = *rc::gen::inRange(1U, 4U),
            .chunks = *rc::gen::inRange(1U, 40U),
            .seed = *rc::gen::inRange<std::uint64_t>(1, 1000000)};
}

/// Chooses at most a third of the VMs, and never the first one, so that one VM in the store's domain remains.
std::set<unsigned> someVms(const SimulationOptions &options)
{
    const auto picked = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(1U, options.vms));
    std::set<unsigned> some;
    for (const unsigned vm : picked) {
        if (some.size() < options.vms / 3) {
            some.insert(vm);
        }
    }
    return some;
}

TEST(PlannerTest, FetchesEachChunkFromTheOriginOnceWithoutFaults)
{
    EXPECT_TRUE(rc::check([] {
        SimulationOptions options = anyOptions();
        options.domainsAreRegions = *rc::gen::arbitrary<bool>();
        const SimulationResult result = simulate(options);
        RC_ASSERT(result.isComplete);
        RC_ASSERT(result.originDraws == options.chunks);
        RC_ASSERT(!options.domainsAreRegions || result.importsTwice == 0U);
    }));
}

TEST(PlannerTest, CompletesEveryLiveVmWhenOthersDieOrStall)
{
    EXPECT_TRUE(rc::check([] {
        SimulationOptions options = anyOptions();
        options.domainsAreRegions = *rc::gen::arbitrary<bool>();
        options.dead = someVms(options);
        options.stalled = *rc::gen::arbitrary<bool>() ? someVms(options) : std::set<unsigned>();
        options.faultAt = Millis(*rc::gen::inRange(0, 800));
        const SimulationResult result = simulate(options);
        RC_ASSERT(result.isComplete);
        RC_ASSERT(result.asksOfDead == 0U);
        // The chunks that a VM fetched before it died or stalled may be lost with it.
        RC_ASSERT(result.originDraws <= options.chunks * (2 + options.dead.size() + options.stalled.size()));
    }));
}

TEST(PlannerTest, BacksOffFromAVmThatSendsCorruptChunks)
{
    EXPECT_TRUE(rc::check([] {
        SimulationOptions options = anyOptions();
        options.liars = someVms(options);
        const SimulationResult result = simulate(options);
        RC_ASSERT(result.isComplete);
        // One request and another one while the first is pending; then the backoff doubles each time.
        const std::size_t pairs = options.vms * options.liars.size();
        RC_ASSERT(result.asksOfLiars <= pairs * 12);
    }));
}

TEST(PlannerTest, FetchesFewChunksTwiceAfterAnOriginOutage)
{
    EXPECT_TRUE(rc::check([] {
        SimulationOptions options = anyOptions();
        options.originSilentUntil = Millis(*rc::gen::inRange(0, 20000));
        const SimulationResult result = simulate(options);
        RC_ASSERT(result.isComplete);
        RC_ASSERT(result.originDraws <= options.chunks + options.vms);
    }));
}

class PolicyTest : public ::testing::TestWithParam<Policy>
{
};

TEST_P(PolicyTest, CompletesEveryVm)
{
    const SimulationResult result = simulate({.vms = 9, .chunks = 30, .policy = GetParam(), .dead = {3}});
    EXPECT_TRUE(result.isComplete);
    EXPECT_EQ(result.asksOfDead, 0U);
}

INSTANTIATE_TEST_SUITE_P(Policies, PolicyTest,
                         ::testing::Values(Policy::Rendezvous, Policy::Random, Policy::Chain, Policy::Origin),
                         [](const auto &tested) { return std::string(nameOf(PolicyNames, tested.param)); });

TEST(ChunkAssignmentTest, SpreadsChunksEvenlyAndMovesOnlyThoseOfADeadVm)
{
    EXPECT_TRUE(rc::check([] {
        std::vector<Digest> chunks;
        for (unsigned i = 0; i < 50; ++i) {
            chunks.push_back(sha256(std::to_string(i) + *rc::gen::arbitrary<std::string>()));
        }
        const ChunkAssignment order = assignChunks(chunks, {"a", "b", "c", "d", "e"});
        std::map<std::string, std::size_t> loads;
        for (std::size_t i = 0; i < chunks.size(); ++i) {
            const std::string first = *assignedVm(order, i, chunks[i], {"a", "b", "c", "d", "e"}, 0);
            const std::string next = *assignedVm(order, i, chunks[i], {"a", "b", "d", "e"}, 0);
            RC_ASSERT(first == "c" || next == first);
            ++loads[first];
        }
        for (const auto &[vm, load] : loads) {
            RC_ASSERT(load == 10U);
        }
    }));
}

} // namespace

} // namespace ibislock::weights::testing
