#include "ibislock/serving/admission.h"
#include "ibislock/serving/placement.h"
#include "ibislock/serving/retry_delay.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

constexpr std::int64_t FirstLife = 1000;
constexpr std::int64_t SecondLife = 2000;

TargetEntry listed(const std::string &id, std::int64_t startedAt = FirstLife)
{
    return {.id = id, .service = "s", .address = "10.0.0.1:1", .domain = "d", .slots = 4, .startedAt = startedAt};
}

Placement placeAt(TargetTable &table, Millis now)
{
    Random random(1);
    return place(table, {.service = "s", .domain = "d", .now = now}, random);
}

TEST(TargetNoticeTest, ATargetThatSaysItLeavesGetsNothingMore)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    recordDraining(*signalsOf(table, "a", FirstLife, Millis{10}));
    EXPECT_EQ(placeAt(table, Millis{11}).target, nullptr);
    EXPECT_EQ(placeAt(table, Millis{11}).reason, PlacementFailure::Unavailable);
}

TEST(TargetNoticeTest, AListingReadEarlierDoesNotBringALeavingTargetBack)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    recordDraining(*signalsOf(table, "a", FirstLife, Millis{10}));
    applyEntry(table, "a", listed("a"), Millis{20});
    replaceEntries(table, {listed("a")}, Millis{30});
    EXPECT_EQ(placeAt(table, Millis{31}).target, nullptr);
}

TEST(TargetNoticeTest, ALeavingTargetStaysOutWhenItsListingIsLostAndComesBack)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    recordDraining(*signalsOf(table, "a", FirstLife, Millis{10}));
    applyEntry(table, "a", std::nullopt, Millis{20});
    ASSERT_TRUE(table.targets.empty());
    applyEntry(table, "a", listed("a"), Millis{2000});
    EXPECT_EQ(placeAt(table, Millis{2001}).target, nullptr);
}

TEST(TargetNoticeTest, AnAnswerThatComesBehindTheLossOfTheListingCounts)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    applyEntry(table, "a", std::nullopt, Millis{20});
    recordDraining(*signalsOf(table, "a", FirstLife, Millis{30}));
    applyEntry(table, "a", listed("a"), Millis{40});
    EXPECT_EQ(placeAt(table, Millis{41}).target, nullptr);
}

TEST(TargetNoticeTest, ANewLifeUnderTheSameIdIsUsed)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    recordDraining(*signalsOf(table, "a", FirstLife, Millis{10}));
    applyEntry(table, "a", listed("a", SecondLife), Millis{20});
    EXPECT_NE(placeAt(table, Millis{21}).target, nullptr);
    EXPECT_EQ(signalsOf(table, "a", FirstLife, Millis{22}), nullptr);
}

TEST(TargetNoticeTest, PastNoticesAreDroppedInTheEnd)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    recordDraining(*signalsOf(table, "a", FirstLife, Millis{10}));
    applyEntry(table, "a", std::nullopt, Millis{20});
    expireListings(table, Millis{20} + RetainedSignalsLifetime);
    EXPECT_EQ(table.retainedSignals.size(), 1U);
    expireListings(table, Millis{21} + RetainedSignalsLifetime);
    EXPECT_TRUE(table.retainedSignals.empty());
}

// The load: one of two targets is overrun and turns requests away for 2 s.
TEST(TargetNoticeTest, APauseSendsRequestsElsewhereUntilItEnds)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    applyEntry(table, "b", listed("b"), Millis{0});
    recordBackoff(*signalsOf(table, "a", FirstLife, Millis{0}), Millis{2000}, Millis{0});
    int toPaused = 0;
    for (int n = 0; n < 50; ++n) {
        toPaused += placeAt(table, Millis{n * 40}).target->entry.id == "a" ? 1 : 0;
    }
    EXPECT_EQ(toPaused, 0);
    EXPECT_TRUE(acceptsRequests(table.targets.at("a").signals, Millis{2000}));
}

TEST(TargetNoticeTest, AShorterPauseDoesNotEndALongerOne)
{
    TargetSignals notice;
    recordBackoff(notice, Millis{5000}, Millis{0});
    recordBackoff(notice, Millis{100}, Millis{10});
    EXPECT_EQ(notice.backoffUntil, Millis{5000});
}

TEST(TargetNoticeTest, AnAbsurdPauseIsGrantedForAnHour)
{
    TargetSignals notice;
    recordBackoff(notice, Millis{std::int64_t{1'000'000'000'000}}, Millis{0});
    EXPECT_EQ(notice.backoffUntil, MaxBackoff);
}

// The load: all targets of a service turn requests away. What can't be served is refused at once, with the time at
// which the first of them takes requests again.
TEST(TargetNoticeTest, WhenAllTargetsPauseTheCallerIsToldWhenTheFirstTakesRequests)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    applyEntry(table, "b", listed("b"), Millis{0});
    recordBackoff(*signalsOf(table, "a", FirstLife, Millis{0}), Millis{2000}, Millis{0});
    recordBackoff(*signalsOf(table, "b", FirstLife, Millis{0}), Millis{1500}, Millis{0});
    const Placement placement = placeAt(table, Millis{500});
    EXPECT_EQ(placement.reason, PlacementFailure::BackingOff);
    EXPECT_EQ(placement.backoffUntil, Millis{1500});
    const AdmissionRequest request{.receivedAt = Millis{500}, .latencyObjective = Millis{300}, .now = Millis{500}};
    EXPECT_EQ(admit(request, placement), AdmissionDecision::RefuseBackingOff);
    Random random(1);
    EXPECT_GT(suggestedRetryDelay(RefusalCause::Full, random, placement.backoffUntil - request.now), Millis{1000});
}

TEST(TargetNoticeTest, APauseThatEndsSoonIsWaitedFor)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    recordBackoff(*signalsOf(table, "a", FirstLife, Millis{0}), Millis{520}, Millis{0});
    const AdmissionRequest request{.receivedAt = Millis{500}, .latencyObjective = Millis{300}, .now = Millis{500}};
    EXPECT_EQ(admit(request, placeAt(table, Millis{500})), AdmissionDecision::Wait);
}

} // namespace

} // namespace ibislock::serving
