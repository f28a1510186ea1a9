#include "ibislock/serving/desired_state.h"
#include "ibislock/serving/placement.h"
#include "ibislock/serving/retry_budget_share.h"
#include "ibislock/serving/retry_delay.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

DesiredState twoRoutes()
{
    DesiredState state;
    state.routes.push_back({.name = "long", .host = "A.example", .pathPrefix = "/a/b/"});
    state.routes.push_back({.name = "short", .host = "a.example", .pathPrefix = "/a/"});
    state.workspaces.push_back({.name = "w", .keys = {"k1", "k2"}});
    buildIndexes(state);
    return state;
}

TEST(DesiredStateTest, TheLongestMatchingPrefixWins)
{
    const DesiredState state = twoRoutes();
    EXPECT_EQ(findRoute(state, "a.example", "/a/b/c")->name, "long");
    EXPECT_EQ(findRoute(state, "a.example:80", "/a/bc?x=/a/b/")->name, "short");
    EXPECT_EQ(findRoute(state, "a.example", "/b/"), nullptr);
    EXPECT_EQ(findRoute(state, "b.example", "/a/"), nullptr);
}

TEST(DesiredStateTest, FindsTheWorkspaceOfAKey)
{
    const DesiredState state = twoRoutes();
    EXPECT_EQ(findWorkspace(state, "k2")->name, "w");
    EXPECT_EQ(findWorkspace(state, "k"), nullptr);
}

TEST(DesiredStateTest, SamplesServicesByWeight)
{
    const Route route{.services = {{"a", 90}, {"b", 10}}};
    EXPECT_EQ(sampleService(route, 0.0), "a");
    EXPECT_EQ(sampleService(route, 0.899), "a");
    EXPECT_EQ(sampleService(route, 0.901), "b");
}

TargetEntry engineTarget(const std::string &id, const std::string &domain = "d")
{
    return {.id = id, .service = "s", .address = "10.0.0.1:1", .domain = domain, .slots = 16, .models = {{"m", 1}}};
}

TEST(TargetTableTest, ARemovedListingRemovesItsTargetAtOnceWhileTheStoreIsReachable)
{
    TargetTable table;
    applyEntry(table, "a", engineTarget("a"), Millis{0});
    applyEntry(table, "a", std::nullopt, Millis{10});
    EXPECT_TRUE(table.targets.empty());
}

TEST(TargetTableTest, AnIncarnationThatLeavesGetsNoRequestsWhateverIsListedAfterwards)
{
    TargetTable table;
    TargetEntry entry{.id = "i-1", .service = "s", .address = "10.0.0.1:80", .startedAt = 5};
    const auto isUsable = [&] {
        Random random(1);
        return place(table, {.service = "s", .now = Millis{0}}, random).target != nullptr;
    };
    applyEntry(table, "i-1", entry, Millis{0});
    EXPECT_TRUE(isUsable());
    entry.draining = true;
    applyEntry(table, "i-1", entry, Millis{0});
    entry.draining = false;
    applyEntry(table, "i-1", entry, Millis{0});
    EXPECT_FALSE(isUsable()) << "listed as ready";
    applyEntry(table, "i-1", std::nullopt, Millis{0});
    applyEntry(table, "i-1", entry, Millis{0});
    EXPECT_FALSE(isUsable()) << "removed and listed again";
    entry.startedAt = 6;
    applyEntry(table, "i-1", entry, Millis{0});
    EXPECT_TRUE(isUsable()) << "born anew";
}

// A write of a crashed incarnation that was appended late made a target usable that had said that it is draining.
TEST(TargetTableTest, AnEarlierIncarnationThatIsListedLateGetsNoRequests)
{
    TargetTable table;
    TargetEntry entry{.id = "i-1", .service = "s", .address = "10.0.0.1:80", .startedAt = 6};
    TargetEntry earlier = entry;
    earlier.startedAt = 5;
    const auto isUsable = [&] {
        Random random(1);
        return place(table, {.service = "s", .now = Millis{0}}, random).target != nullptr;
    };
    applyEntry(table, "i-1", entry, Millis{0});
    recordDraining(*signalsOf(table, "i-1", 6, Millis{0}));
    applyEntry(table, "i-1", earlier, Millis{0});
    EXPECT_FALSE(isUsable());
    applyEntry(table, "i-1", std::nullopt, Millis{0});
    applyEntry(table, "i-1", earlier, Millis{0});
    EXPECT_FALSE(isUsable()) << "behind the removal";
    entry.startedAt = 7;
    applyEntry(table, "i-1", entry, Millis{0});
    EXPECT_TRUE(isUsable()) << "started again";
}

// An entry that another program wrote under the id of a leaving target made that target usable again.
TEST(TargetTableTest, AnEntryWithoutItsStartIsNoNewIncarnation)
{
    TargetTable table;
    TargetEntry entry{.id = "i-1", .service = "s", .address = "10.0.0.1:80", .draining = true, .startedAt = 5};
    const auto isUsable = [&] {
        Random random(1);
        return place(table, {.service = "s", .now = Millis{0}}, random).target != nullptr;
    };
    TargetEntry foreign = entry;
    foreign.draining = false;
    foreign.startedAt = 0;
    applyEntry(table, "i-1", entry, Millis{0});
    applyEntry(table, "i-1", foreign, Millis{0});
    EXPECT_FALSE(isUsable());
    applyEntry(table, "i-1", std::nullopt, Millis{0});
    applyEntry(table, "i-1", foreign, Millis{0});
    EXPECT_FALSE(isUsable()) << "removed and listed again";
    entry.draining = false;
    entry.startedAt = 6;
    applyEntry(table, "i-1", entry, Millis{0});
    EXPECT_TRUE(isUsable()) << "born anew";
    foreign.draining = true;
    applyEntry(table, "i-1", foreign, Millis{0});
    applyEntry(table, "i-1", entry, Millis{0});
    EXPECT_TRUE(isUsable()) << "it has not said itself that it leaves";
}

TEST(TargetTableTest, AnUnknownIncarnationIsUsedAsItIsListed)
{
    TargetTable table;
    TargetEntry entry{.id = "i-1", .service = "s", .address = "10.0.0.1:80", .draining = true};
    applyEntry(table, "i-1", entry, Millis{0});
    entry.draining = false;
    applyEntry(table, "i-1", entry, Millis{0});
    Random random(1);
    EXPECT_NE(place(table, {.service = "s", .now = Millis{0}}, random).target, nullptr);
}

TEST(TargetTableTest, AListingRemovedInAnOutageIsKeptUntilItsGracePeriodEnds)
{
    TargetTable table;
    applyEntry(table, "a", engineTarget("a"), Millis{0});
    recordStoreRecovery(table, Millis{5000});
    applyEntry(table, "a", std::nullopt, Millis{5100});
    expireListings(table, Millis{6900});
    EXPECT_EQ(table.targets.size(), 1U);
    expireListings(table, Millis{7001});
    EXPECT_TRUE(table.targets.empty());
}

TEST(TargetTableTest, AListingPublishedAgainWithinTheGracePeriodIsKept)
{
    TargetTable table;
    applyEntry(table, "a", engineTarget("a"), Millis{0});
    recordStoreRecovery(table, Millis{5000});
    applyEntry(table, "a", std::nullopt, Millis{5100});
    applyEntry(table, "a", engineTarget("a"), Millis{6000});
    expireListings(table, Millis{8000});
    EXPECT_EQ(table.targets.size(), 1U);
}

TEST(TargetTableTest, ADrainingTargetThatIsRemovedInAnOutageHasNoGracePeriod)
{
    TargetTable table;
    TargetEntry entry = engineTarget("a");
    entry.draining = true;
    applyEntry(table, "a", entry, Millis{0});
    recordStoreRecovery(table, Millis{5000});
    applyEntry(table, "a", std::nullopt, Millis{5100});
    EXPECT_TRUE(table.targets.empty());
}

TEST(PlacementTest, ChoosesTheLeastOccupiedTargetCountingOwnUnreportedAttempts)
{
    TargetTable table;
    applyEntry(table, "a", engineTarget("a"), Millis{0});
    applyEntry(table, "b", engineTarget("b"), Millis{0});
    applyLoad(table, "a", {.running = 5, .version = 1, .receivedAt = Millis{100}}, Millis{0});
    applyLoad(table, "b", {.running = 3, .version = 1, .receivedAt = Millis{100}}, Millis{90});
    for (int n = 0; n < 3; ++n) {
        recordAttempt(table.targets.at("b"), Millis{95}, 0);
    }
    Random random(1);
    const auto placement = place(table, {.service = "s", .domain = "d", .engine = true, .now = Millis{150}}, random);
    ASSERT_NE(placement.target, nullptr);
    EXPECT_EQ(placement.target->entry.id, "a");
}

TEST(PlacementTest, FullEnginesGetNoRequests)
{
    TargetTable table;
    applyEntry(table, "a", engineTarget("a"), Millis{0});
    applyLoad(table, "a", {.running = 16, .version = 1, .receivedAt = Millis{100}}, Millis{0});
    Random random(1);
    const auto placement = place(table, {.service = "s", .domain = "d", .engine = true, .now = Millis{150}}, random);
    EXPECT_EQ(placement.target, nullptr);
    EXPECT_EQ(placement.reason, PlacementFailure::Full);
}

/// A target that must not be chosen.
struct UnusableCase
{
    std::string name;
    TargetEntry entry;
    std::optional<TargetLoad> load;
    std::int64_t minVersion = 0;
};

class UnusableTargetTest : public testing::TestWithParam<UnusableCase>
{
};

TEST_P(UnusableTargetTest, IsNotChosen)
{
    TargetTable table;
    applyEntry(table, "a", GetParam().entry, Millis{0});
    if (GetParam().load) {
        applyLoad(table, "a", *GetParam().load, Millis{0});
    }
    Random random(1);
    const auto placement = place(
        table, {.service = "s", .domain = "d", .minVersion = GetParam().minVersion, .engine = true, .now = Millis{150}},
        random);
    EXPECT_EQ(placement.target, nullptr);
    EXPECT_EQ(placement.reason, PlacementFailure::Unavailable);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, UnusableTargetTest,
    testing::Values(
        UnusableCase{
            "Draining", {.id = "a", .service = "s", .slots = 1, .draining = true, .models = {{"m", 1}}}, {}, 0},
        UnusableCase{"OtherService", {.id = "a", .service = "t", .slots = 1, .models = {{"m", 1}}}, {}, 0},
        UnusableCase{"NoWeights", {.id = "a", .service = "s", .slots = 1}, {}, 0},
        UnusableCase{"OldWeights", engineTarget("a"), {}, 2},
        UnusableCase{"Loading", engineTarget("a"), TargetLoad{.version = 1, .loading = true, .receivedAt = Millis{100}},
                     0},
        UnusableCase{"LostItsWeights", engineTarget("a"), TargetLoad{.version = 0, .receivedAt = Millis{100}}, 0}),
    [](const auto &item) { return item.param.name; });

TEST(PlacementTest, AnEngineWhoseVmStoppedReportingIsTheLastChoice)
{
    // The engine of a frozen VM seems idle, but requests sent to it wait until the VM resumes.
    TargetTable table;
    applyEntry(table, "frozen", engineTarget("frozen"), Millis{0});
    applyEntry(table, "busy", engineTarget("busy"), Millis{0});
    applyLoad(table, "frozen", {.version = 1, .receivedAt = Millis{100}}, Millis{0});
    applyLoad(table, "busy", {.running = 12, .version = 1, .receivedAt = Millis{1900}}, Millis{0});
    Random random(1);
    const PlacementRequest request{.service = "s", .domain = "d", .engine = true, .now = Millis{2000}};
    for (int n = 0; n < 20; ++n) {
        EXPECT_EQ(place(table, request, random).target->entry.id, "busy");
    }
    table.targets.erase("busy");
    EXPECT_EQ(place(table, request, random).target->entry.id, "frozen");
}

TEST(PlacementTest, ATargetThatLoadsWeightsSoonGetsOnlyRequestsThatEndBefore)
{
    TargetTable table;
    applyEntry(table, "a", engineTarget("a"), Millis{0});
    applyLoad(table, "a", {.version = 1, .loadStartsAt = Millis{1000}, .receivedAt = Millis{100}}, Millis{0});
    Random random(1);
    PlacementRequest request{
        .service = "s", .domain = "d", .engine = true, .expectedDuration = Millis{800}, .now = Millis{150}};
    EXPECT_NE(place(table, request, random).target, nullptr);
    request.expectedDuration = Millis{1500};
    EXPECT_EQ(place(table, request, random).target, nullptr);
}

TEST(PlacementTest, EntryVmsWithTheSameLoadReportsChooseDifferentTargets)
{
    // Eight entry VMs have the same load reports, in which one of 20 engines is the least occupied.
    std::map<std::string, int> chosen;
    for (unsigned vm = 0; vm < 8; ++vm) {
        TargetTable table;
        for (int n = 0; n < 20; ++n) {
            const std::string id = "t" + std::to_string(n);
            applyEntry(table, id, engineTarget(id), Millis{0});
            applyLoad(table, id, {.running = n == 0 ? 1 : 4, .version = 1, .receivedAt = Millis{100}}, Millis{100});
        }
        Random random(vm);
        ++chosen[place(table, {.service = "s", .domain = "d", .engine = true, .now = Millis{150}}, random)
                     .target->entry.id];
    }
    EXPECT_LE(chosen["t0"], 4);
}

TEST(PlacementTest, QueuedPromptsWeighMoreThanRunningRequests)
{
    TargetTable table;
    applyEntry(table, "a", engineTarget("a"), Millis{0});
    applyEntry(table, "b", engineTarget("b"), Millis{0});
    applyLoad(table, "a", {.running = 3, .queued = 4, .version = 1, .receivedAt = Millis{100}}, Millis{100});
    applyLoad(table, "b", {.running = 10, .version = 1, .receivedAt = Millis{100}}, Millis{100});
    Random random(1);
    const PlacementRequest request{
        .service = "s", .domain = "d", .engine = true, .typicalPromptMs = 47, .now = Millis{150}};
    EXPECT_EQ(place(table, request, random).target->entry.id, "b");
}

TEST(RetryBudgetShareTest, RetriesInABurstOfFailuresStayWithinTheShare)
{
    RetryBudgetShare share{.ratio = 0.2, .allowance = 100, .entryVms = 8};
    int retries = 0;
    for (int n = 0; n < 300; ++n) {
        recordRequest(share, "s", Millis{n * 10});
        retries += tryConsumeRetry(share, "s", Millis{n * 10}) ? 1 : 0;
    }
    EXPECT_LE(retries, 0.2 * 300 + 100.0 / 8);
    EXPECT_GT(retries, 20);
}

TEST(RetryBudgetShareTest, TheBudgetIsReplenishedAfterItsWindow)
{
    RetryBudgetShare share{.ratio = 0, .allowance = 8, .entryVms = 4};
    EXPECT_TRUE(tryConsumeRetry(share, "s", Millis{0}));
    EXPECT_FALSE(tryConsumeRetry(share, "s", Millis{1}));
    EXPECT_TRUE(tryConsumeRetry(share, "s", Millis{10001}));
}

TEST(RetryDelayTest, DelaysAreLongerInAnOutageThanInASpikeAndVary)
{
    Random random(1);
    std::set<Millis> times;
    for (int n = 0; n < 100; ++n) {
        const Millis full = suggestedRetryDelay(RefusalCause::Full, random);
        EXPECT_LT(full, Millis{500});
        EXPECT_GT(suggestedRetryDelay(RefusalCause::NoUsableTarget, random), Millis{1000});
        EXPECT_LT(suggestedRetryDelay(RefusalCause::Redirect, random), full);
        times.insert(full);
    }
    EXPECT_GT(times.size(), 30U);
}

} // namespace

} // namespace ibislock::serving
