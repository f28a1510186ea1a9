#include "ibislock/serving/admission.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

/// A request and what must become of it at 1,000 ms.
struct AdmissionCase
{
    std::string name;
    AdmissionRequest request;
    PlacementFailure reason = PlacementFailure::Full;
    AdmissionDecision verdict = AdmissionDecision::Wait;
};

class AdmissionTest : public testing::TestWithParam<AdmissionCase>
{
};

TEST_P(AdmissionTest, DecidesWhatBecomesOfARequest)
{
    AdmissionRequest request = GetParam().request;
    request.now = Millis{1000};
    Target target;
    const bool open = GetParam().reason == PlacementFailure::None;
    const Placement placement{.target = open ? &target : nullptr, .reason = GetParam().reason};
    EXPECT_EQ(admit(request, placement, {.maxWaitFraction = 0.125}), GetParam().verdict);
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
        AdmissionCase{"LateIsNotHeld",
                      {.receivedAt = Millis{990}, .latencyObjective = Millis{400}, .late = true},
                      PlacementFailure::Full,
                      AdmissionDecision::RefuseFull},
        AdmissionCase{
            "LateButBegunIsHeld",
            {.receivedAt = Millis{990}, .latencyObjective = Millis{400}, .late = true, .responseStarted = true},
            PlacementFailure::Full,
            AdmissionDecision::Wait},
        AdmissionCase{"BrokenOffIsHeldLonger",
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

TEST(WaitingRankTest, UrgentRequestsGoFirstThenThoseThatCameFirst)
{
    EXPECT_LT((WaitingRank{.priority = 0, .arrival = 9}), (WaitingRank{.priority = 1, .arrival = 1}));
    EXPECT_LT((WaitingRank{.priority = 1, .arrival = 1}), (WaitingRank{.priority = 1, .arrival = 2}));
}

} // namespace

} // namespace ibislock::serving
