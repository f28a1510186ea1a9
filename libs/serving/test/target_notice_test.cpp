#include "ibislock/serving/admission.h"
#include "ibislock/serving/placement.h"
#include "ibislock/serving/retry_advice.h"

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
    noteLeaving(*noticeOf(table, "a", FirstLife, Millis{10}));
    EXPECT_EQ(placeAt(table, Millis{11}).target, nullptr);
    EXPECT_EQ(placeAt(table, Millis{11}).reason, NoTarget::Unknown);
}

TEST(TargetNoticeTest, AListingReadEarlierDoesNotBringALeavingTargetBack)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    noteLeaving(*noticeOf(table, "a", FirstLife, Millis{10}));
    applyEntry(table, "a", listed("a"), Millis{20});
    replaceEntries(table, {listed("a")}, Millis{30});
    EXPECT_EQ(placeAt(table, Millis{31}).target, nullptr);
}

TEST(TargetNoticeTest, ALeavingTargetStaysOutWhenItsListingIsLostAndComesBack)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    noteLeaving(*noticeOf(table, "a", FirstLife, Millis{10}));
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
    noteLeaving(*noticeOf(table, "a", FirstLife, Millis{30}));
    applyEntry(table, "a", listed("a"), Millis{40});
    EXPECT_EQ(placeAt(table, Millis{41}).target, nullptr);
}

TEST(TargetNoticeTest, ANewLifeUnderTheSameIdIsUsed)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    noteLeaving(*noticeOf(table, "a", FirstLife, Millis{10}));
    applyEntry(table, "a", listed("a", SecondLife), Millis{20});
    EXPECT_NE(placeAt(table, Millis{21}).target, nullptr);
    EXPECT_EQ(noticeOf(table, "a", FirstLife, Millis{22}), nullptr);
}

TEST(TargetNoticeTest, PastNoticesAreDroppedInTheEnd)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    noteLeaving(*noticeOf(table, "a", FirstLife, Millis{10}));
    applyEntry(table, "a", std::nullopt, Millis{20});
    expireLapsed(table, Millis{20} + PastNoticeLifetime);
    EXPECT_EQ(table.pastNotices.size(), 1U);
    expireLapsed(table, Millis{21} + PastNoticeLifetime);
    EXPECT_TRUE(table.pastNotices.empty());
}

// The load: one of two targets is overrun and turns requests away for 2 s.
TEST(TargetNoticeTest, APauseSendsRequestsElsewhereUntilItEnds)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    applyEntry(table, "b", listed("b"), Millis{0});
    notePause(*noticeOf(table, "a", FirstLife, Millis{0}), Millis{2000}, Millis{0});
    int toPaused = 0;
    for (int n = 0; n < 50; ++n) {
        toPaused += placeAt(table, Millis{n * 40}).target->entry.id == "a" ? 1 : 0;
    }
    EXPECT_EQ(toPaused, 0);
    EXPECT_TRUE(admits(table.targets.at("a").notice, Millis{2000}));
}

TEST(TargetNoticeTest, AShorterPauseDoesNotEndALongerOne)
{
    TargetNotice notice;
    notePause(notice, Millis{5000}, Millis{0});
    notePause(notice, Millis{100}, Millis{10});
    EXPECT_EQ(notice.pauseUntil, Millis{5000});
}

TEST(TargetNoticeTest, AnAbsurdPauseIsGrantedForAnHour)
{
    TargetNotice notice;
    notePause(notice, Millis{std::int64_t{1'000'000'000'000}}, Millis{0});
    EXPECT_EQ(notice.pauseUntil, LongestPause);
}

// The load: all targets of a service turn requests away. What can't be served is refused at once, with the time at
// which the first of them takes requests again.
TEST(TargetNoticeTest, WhenAllTargetsPauseTheCallerIsToldWhenTheFirstTakesRequests)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    applyEntry(table, "b", listed("b"), Millis{0});
    notePause(*noticeOf(table, "a", FirstLife, Millis{0}), Millis{2000}, Millis{0});
    notePause(*noticeOf(table, "b", FirstLife, Millis{0}), Millis{1500}, Millis{0});
    const Placement placement = placeAt(table, Millis{500});
    EXPECT_EQ(placement.reason, NoTarget::Paused);
    EXPECT_EQ(placement.pausedUntil, Millis{1500});
    const AdmissionRequest request{.receivedAt = Millis{500}, .goal = Millis{300}, .now = Millis{500}};
    EXPECT_EQ(admit(request, placement), Admission::RefusePaused);
    Random random(1);
    EXPECT_GT(retryAdvice(RefusalCause::Full, random, placement.pausedUntil - request.now), Millis{1000});
}

TEST(TargetNoticeTest, APauseThatEndsSoonIsWaitedFor)
{
    TargetTable table;
    applyEntry(table, "a", listed("a"), Millis{0});
    notePause(*noticeOf(table, "a", FirstLife, Millis{0}), Millis{520}, Millis{0});
    const AdmissionRequest request{.receivedAt = Millis{500}, .goal = Millis{300}, .now = Millis{500}};
    EXPECT_EQ(admit(request, placeAt(table, Millis{500})), Admission::Wait);
}

} // namespace

} // namespace ibislock::serving
