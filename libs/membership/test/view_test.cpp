#include "ibislock/membership/view.h"

#include <gtest/gtest.h>

namespace ibislock::membership
{

namespace
{

constexpr ViewOptions Options{.reportLifetime = Millis(1000)};

Report reportOf(std::uint64_t incarnation, std::uint64_t started, std::uint64_t sequence)
{
    return {.vm = "t1",
            .domain = "north",
            .address = "127.0.0.1:1",
            .incarnation = incarnation,
            .started = started,
            .sequence = sequence};
}

TEST(ViewTest, UsesAVmOnlyWhileItsReportIsFresh)
{
    View view{.domain = "north"};
    applyReport(view, reportOf(1, 1, 1), Options, Millis(0));
    EXPECT_TRUE(isUsable(*find(view, "t1"), Options, Millis(1000)));
    EXPECT_FALSE(isUsable(*find(view, "t1"), Options, Millis(1001)));
}

TEST(ViewTest, DoesNotUseAVmThatThePlatformListsAsLeaving)
{
    View view{.domain = "north"};
    applyReport(view, reportOf(1, 1, 1), Options, Millis(0));
    applyVmList(view, {{.vm = "t1", .domain = "north", .address = "127.0.0.1:1", .leaving = true}}, Options, Millis(1));
    EXPECT_FALSE(isUsable(*find(view, "t1"), Options, Millis(1)));
}

TEST(ViewTest, IgnoresReportsOfAnOlderIncarnation)
{
    View view{.domain = "north"};
    EXPECT_TRUE(applyReport(view, reportOf(2, 20, 1), Options, Millis(0)));
    EXPECT_FALSE(applyReport(view, reportOf(1, 10, 99), Options, Millis(1)));
    EXPECT_EQ(find(view, "t1")->report.incarnation, 2U);
}

TEST(ViewTest, KeepsAVmThatReportsButIsNoLongerListed)
{
    View view{.domain = "north"};
    applyReport(view, reportOf(1, 1, 1), Options, Millis(0));
    applyVmList(view, {}, Options, Millis(10));
    EXPECT_NE(find(view, "t1"), nullptr);
    applyVmList(view, {}, Options, Millis(2000));
    EXPECT_EQ(find(view, "t1"), nullptr);
}

TEST(ViewTest, ExpectsAListedVmUntilItsFirstReport)
{
    View view;
    applyVmList(view, {{.vm = "t1", .domain = "north", .address = "127.0.0.1:1"}}, Options, Millis(0));
    EXPECT_TRUE(isExpected(*find(view, "t1")));
    EXPECT_FALSE(isUsable(*find(view, "t1"), Options, Millis(0)));
    applyReport(view, reportOf(1, 1, 1), Options, Millis(1));
    EXPECT_FALSE(isExpected(*find(view, "t1")));
}

} // namespace

} // namespace ibislock::membership
