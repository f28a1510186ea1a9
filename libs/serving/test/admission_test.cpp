#include "ibislock/serving/admission.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

/// A request and the expected decision at 1,000 ms.
struct AdmissionCase
{
    std::string name;
    AdmissionRequest request;
    PlacementFailure reason = PlacementFailure::Full;
    AdmissionDecision decision = AdmissionDecision::Wait;
};

class AdmissionTest : public testing::TestWithParam<AdmissionCase>
{
};

TEST_P(AdmissionTest, DecidesWhetherARequestIsSentWaitsOrIsRefused)
{
    AdmissionRequest request = GetParam().request;
    request.now = Millis{1000};
    Target target;
    const bool hasTarget = GetParam().reason == PlacementFailure::None;
    const Placement placement{.target = hasTarget ? &target : nullptr, .reason = GetParam().reason};
    EXPECT_EQ(admit(request, placement, {.maxWaitFraction = 0.125}), GetParam().decision);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, AdmissionTest,
    testing::Values(
        AdmissionCase{"FreeSlot",
                      {.receivedAt = Millis{0}, .latencyObjective = Millis{400}},
                      PlacementFailure::None,
                      AdmissionDecision::Send},
        AdmissionCase{"LateWithFreeSlot",
                      {.receivedAt = Millis{0}, .latencyObjective = Millis{400}, .late = true},
                      PlacementFailure::None,
                      AdmissionDecision::Send},
        AdmissionCase{"JustArrived",
                      {.receivedAt = Millis{990}, .latencyObjective = Millis{400}},
                      PlacementFailure::Full,
                      AdmissionDecision::Wait},
        AdmissionCase{"WaitedLongEnough",
                      {.receivedAt = Millis{950}, .latencyObjective = Millis{400}},
                      PlacementFailure::Full,
                      AdmissionDecision::RefuseFull},
        AdmissionCase{"LateIsRefused",
                      {.receivedAt = Millis{990}, .latencyObjective = Millis{400}, .late = true},
                      PlacementFailure::Full,
                      AdmissionDecision::RefuseFull},
        AdmissionCase{
            "LateAfterResponseStartedWaits",
            {.receivedAt = Millis{990}, .latencyObjective = Millis{400}, .late = true, .responseStarted = true},
            PlacementFailure::Full,
            AdmissionDecision::Wait},
        AdmissionCase{"AbortedResponseWaitsLonger",
                      {.receivedAt = Millis{500},
                       .latencyObjective = Millis{400},
                       .resumeWaitUntil = Millis{1200},
                       .responseStarted = true},
                      PlacementFailure::Full,
                      AdmissionDecision::Wait},
        AdmissionCase{"NoTargetIsRefusedAtOnce",
                      {.receivedAt = Millis{1000}, .latencyObjective = Millis{400}},
                      PlacementFailure::Unavailable,
                      AdmissionDecision::RefuseNoTarget}),
    [](const auto &item) { return item.param.name; });

TEST(WaitingRankTest, OrdersByPriorityThenByArrival)
{
    EXPECT_LT((WaitingRank{.priority = 0, .arrival = 9}), (WaitingRank{.priority = 1, .arrival = 1}));
    EXPECT_LT((WaitingRank{.priority = 1, .arrival = 1}), (WaitingRank{.priority = 1, .arrival = 2}));
}

// Guards against callers that are refused twice while new ones are served, and against waiting requests that are late
// behind others with time left.
TEST(WaitingRankTest, OrdersReturnedCallersFirstThenBySlack)
{
    EXPECT_LT((WaitingRank{.firstAttempt = false, .dueAt = Millis{900}, .arrival = 2}),
              (WaitingRank{.firstAttempt = true, .dueAt = Millis{100}, .arrival = 1}));
    EXPECT_LT((WaitingRank{.dueAt = Millis{100}, .arrival = 2}), (WaitingRank{.dueAt = Millis{900}, .arrival = 1}));
}

} // namespace

} // namespace ibislock::serving
