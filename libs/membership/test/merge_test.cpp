#include "ibislock/base/random.h"
#include "ibislock/membership/view.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ibislock::membership
{

namespace
{

constexpr ViewOptions Options;

/// Builds news on one VM from a few small numbers, so that many pieces collide. A report of one age has one content.
MembershipUpdate newsOf(std::uint8_t choice)
{
    MembershipUpdate news;
    news.report = {.vm = "t1",
                   .domain = "north",
                   .address = "127.0.0.1:1",
                   .incarnation = 1 + choice % 2U,
                   .started = 1 + choice % 2U,
                   .revision = choice / 2U % 2U,
                   .sequence = choice / 4U % 3U};
    news.report.phase = news.report.revision == 0 ? "serving" : "draining";
    if ((choice & 0x40U) != 0) {
        news.suspectedBy.insert("e1");
    }
    if ((choice & 0x80U) != 0) {
        news.suspectedBy.insert("e2");
    }
    return news;
}

MembershipUpdate newsIn(const View &view)
{
    const Member &member = *find(view, "t1");
    return {.report = member.report, .suspectedBy = member.suspectedBy};
}

TEST(MergeTest, IsCommutativeAssociativeAndIdempotent)
{
    EXPECT_TRUE(rc::check([](std::uint8_t x, std::uint8_t y, std::uint8_t z) {
        const MembershipUpdate a = newsOf(x);
        const MembershipUpdate b = newsOf(y);
        const MembershipUpdate c = newsOf(z);
        RC_ASSERT(mergedUpdate(a, b) == mergedUpdate(b, a));
        RC_ASSERT(mergedUpdate(a, mergedUpdate(b, c)) == mergedUpdate(mergedUpdate(a, b), c));
        RC_ASSERT(mergedUpdate(a, a) == a);
    }));
}

TEST(MergeTest, AnyOrderAndRepetitionOfNewsGivesTheSameView)
{
    EXPECT_TRUE(rc::check([](std::vector<std::uint8_t> choices, std::uint64_t seed) {
        RC_PRE(!choices.empty());
        View straight{.domain = "north"};
        for (const std::uint8_t choice : choices) {
            applyUpdate(straight, newsOf(choice), Options, Millis(1));
        }
        std::vector<std::uint8_t> mixed = choices;
        mixed.insert(mixed.end(), choices.begin(), choices.end());
        Random random(seed);
        std::shuffle(mixed.begin(), mixed.end(), random);
        View shuffled{.domain = "north"};
        for (const std::uint8_t choice : mixed) {
            applyUpdate(shuffled, newsOf(choice), Options, Millis(1));
        }
        RC_ASSERT(newsIn(straight) == newsIn(shuffled));
        RC_ASSERT(fingerprintOf(straight) == fingerprintOf(shuffled));
    }));
}

TEST(MergeTest, OneSilentPathDoesNotMakeAVmDead)
{
    View view{.domain = "north"};
    MembershipUpdate news = newsOf(0);
    applyUpdate(view, news, Options, Millis(0));
    refreshDomain(view, "north", Millis(1000));
    markSuspected(view, "t1", {"e1"}, Millis(1000));
    EXPECT_TRUE(isUsable(*find(view, "t1"), Options, Millis(1000)));
    markSuspected(view, "t1", {"e2"}, Millis(1000));
    EXPECT_FALSE(isUsable(*find(view, "t1"), Options, Millis(1000)));
    ++news.report.sequence;
    applyUpdate(view, news, Options, Millis(1001));
    EXPECT_TRUE(isUsable(*find(view, "t1"), Options, Millis(1001)));
}

TEST(MergeTest, ASignOfLifeWithoutItsReportAsksForTheReport)
{
    View view{.domain = "north"};
    const MembershipUpdate news = newsOf(0);
    applyUpdate(view, news, Options, Millis(0));
    Heartbeat beat{.vm = "t1", .domain = "north", .incarnation = news.report.incarnation, .sequence = 9};
    EXPECT_TRUE(applyHeartbeat(view, beat, Options, Millis(1)));
    beat.revision = 1;
    EXPECT_FALSE(applyHeartbeat(view, beat, Options, Millis(2)));
}

TEST(MergeTest, StaleWordDoesNotLookFresh)
{
    View view{.domain = "north"};
    MembershipUpdate news = newsOf(0);
    news.report.domain = "south";
    applyUpdate(view, news, Options, Millis(50000));
    refreshDomain(view, "south", Millis(50000) - Options.remoteLifetime - Millis(1));
    EXPECT_FALSE(isUsable(*find(view, "t1"), Options, Millis(50000)));
}

TEST(MergeTest, NewsIsHandedOverOnceAndInBoundedPieces)
{
    View view{.domain = "north"};
    for (int i = 0; i < 10; ++i) {
        MembershipUpdate news = newsOf(0);
        news.report.vm = "t" + std::to_string(i);
        applyUpdate(view, news, Options, Millis(0));
    }
    std::uint64_t upTo = 0;
    std::size_t received = 0;
    for (int round = 0; round < 4; ++round) {
        received += updatesAfter(view, upTo, true, 4, upTo).size();
    }
    EXPECT_EQ(received, 10U);
    EXPECT_TRUE(updatesAfter(view, upTo, true, 4, upTo).empty());
}

} // namespace

} // namespace ibislock::membership
