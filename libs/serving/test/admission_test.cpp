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
    NoTarget reason = NoTarget::Full;
    Admission verdict = Admission::Wait;
};

class AdmissionTest : public testing::TestWithParam<AdmissionCase>
{
};

TEST_P(AdmissionTest, DecidesWhatBecomesOfARequest)
{
    AdmissionRequest request = GetParam().request;
    request.now = Millis{1000};
    Target target;
    const bool open = GetParam().reason == NoTarget::None;
    const Placement placement{.target = open ? &target : nullptr, .reason = GetParam().reason};
    EXPECT_EQ(admit(request, placement, {.waitPartOfGoal = 0.125}), GetParam().verdict);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, AdmissionTest,
    testing::Values(
        AdmissionCase{"FreeSlot", {.receivedAt = Millis{0}, .goal = Millis{400}}, NoTarget::None, Admission::Send},
        AdmissionCase{"LateWithFreeSlot",
                      {.receivedAt = Millis{0}, .goal = Millis{400}, .late = true},
                      NoTarget::None,
                      Admission::Send},
        AdmissionCase{"JustArrived", {.receivedAt = Millis{990}, .goal = Millis{400}}, NoTarget::Full, Admission::Wait},
        AdmissionCase{"WaitedLongEnough",
                      {.receivedAt = Millis{950}, .goal = Millis{400}},
                      NoTarget::Full,
                      Admission::RefuseFull},
        AdmissionCase{"LateIsNotHeld",
                      {.receivedAt = Millis{990}, .goal = Millis{400}, .late = true},
                      NoTarget::Full,
                      Admission::RefuseFull},
        AdmissionCase{"LateButBegunIsHeld",
                      {.receivedAt = Millis{990}, .goal = Millis{400}, .late = true, .begun = true},
                      NoTarget::Full,
                      Admission::Wait},
        AdmissionCase{"BrokenOffIsHeldLonger",
                      {.receivedAt = Millis{500}, .goal = Millis{400}, .waitUntil = Millis{1200}, .begun = true},
                      NoTarget::Full,
                      Admission::Wait},
        AdmissionCase{"NoTargetIsRefusedAtOnce",
                      {.receivedAt = Millis{1000}, .goal = Millis{400}},
                      NoTarget::Unknown,
                      Admission::RefuseNoTarget}),
    [](const auto &item) { return item.param.name; });

TEST(WaitingRankTest, UrgentRequestsGoFirstThenThoseThatCameFirst)
{
    EXPECT_LT((WaitingRank{.priority = 0, .arrival = 9}), (WaitingRank{.priority = 1, .arrival = 1}));
    EXPECT_LT((WaitingRank{.priority = 1, .arrival = 1}), (WaitingRank{.priority = 1, .arrival = 2}));
}

} // namespace

} // namespace ibislock::serving
