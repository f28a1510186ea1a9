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
News newsOf(std::uint8_t choice)
{
    News news;
    news.report = {.vm = "t1",
                   .domain = "north",
                   .address = "127.0.0.1:1",
                   .incarnation = 1 + choice % 2U,
                   .started = 1 + choice % 2U,
                   .revision = choice / 2U % 2U,
                   .sequence = choice / 4U % 3U};
    news.report.phase = news.report.revision == 0 ? "serving" : "draining";
    if ((choice & 0x40U) != 0) {
        news.silentFor.insert("e1");
    }
    if ((choice & 0x80U) != 0) {
        news.silentFor.insert("e2");
    }
    return news;
}

News newsIn(const View &view)
{
    const Member &member = *find(view, "t1");
    return {.report = member.report, .silentFor = member.silentFor};
}

TEST(MergeTest, IsCommutativeAssociativeAndIdempotent)
{
    EXPECT_TRUE(rc::check([](std::uint8_t x, std::uint8_t y, std::uint8_t z) {
        const News a = newsOf(x);
        const News b = newsOf(y);
        const News c = newsOf(z);
        RC_ASSERT(merged(a, b) == merged(b, a));
        RC_ASSERT(merged(a, merged(b, c)) == merged(merged(a, b), c));
        RC_ASSERT(merged(a, a) == a);
    }));
}

TEST(MergeTest, AnyOrderAndRepetitionOfNewsGivesTheSameView)
{
    EXPECT_TRUE(rc::check([](std::vector<std::uint8_t> choices, std::uint64_t seed) {
        RC_PRE(!choices.empty());
        View straight{.domain = "north"};
        for (const std::uint8_t choice : choices) {
            applyNews(straight, newsOf(choice), Options, Millis(1));
        }
        std::vector<std::uint8_t> mixed = choices;
        mixed.insert(mixed.end(), choices.begin(), choices.end());
        Random random(seed);
        std::shuffle(mixed.begin(), mixed.end(), random);
        View shuffled{.domain = "north"};
        for (const std::uint8_t choice : mixed) {
            applyNews(shuffled, newsOf(choice), Options, Millis(1));
        }
        RC_ASSERT(newsIn(straight) == newsIn(shuffled));
        RC_ASSERT(fingerprintOf(straight) == fingerprintOf(shuffled));
    }));
}

TEST(MergeTest, OneSilentPathDoesNotMakeAVmDead)
{
    View view{.domain = "north"};
    News news = newsOf(0);
    applyNews(view, news, Options, Millis(0));
    applyDomain(view, "north", Millis(1000));
    markSilent(view, "t1", {"e1"}, Millis(1000));
    EXPECT_TRUE(isUsable(*find(view, "t1"), Options, Millis(1000)));
    markSilent(view, "t1", {"e2"}, Millis(1000));
    EXPECT_FALSE(isUsable(*find(view, "t1"), Options, Millis(1000)));
    ++news.report.sequence;
    applyNews(view, news, Options, Millis(1001));
    EXPECT_TRUE(isUsable(*find(view, "t1"), Options, Millis(1001)));
}

TEST(MergeTest, ASignOfLifeWithoutItsReportAsksForTheReport)
{
    View view{.domain = "north"};
    const News news = newsOf(0);
    applyNews(view, news, Options, Millis(0));
    Beat beat{.vm = "t1", .domain = "north", .incarnation = news.report.incarnation, .sequence = 9};
    EXPECT_TRUE(applyBeat(view, beat, Options, Millis(1)));
    beat.revision = 1;
    EXPECT_FALSE(applyBeat(view, beat, Options, Millis(2)));
}

TEST(MergeTest, StaleWordDoesNotLookFresh)
{
    View view{.domain = "north"};
    News news = newsOf(0);
    news.report.domain = "south";
    applyNews(view, news, Options, Millis(50000));
    applyDomain(view, "south", Millis(50000) - Options.remoteLifetime - Millis(1));
    EXPECT_FALSE(isUsable(*find(view, "t1"), Options, Millis(50000)));
}

TEST(MergeTest, NewsIsHandedOverOnceAndInBoundedPieces)
{
    View view{.domain = "north"};
    for (int i = 0; i < 10; ++i) {
        News news = newsOf(0);
        news.report.vm = "t" + std::to_string(i);
        applyNews(view, news, Options, Millis(0));
    }
    std::uint64_t upTo = 0;
    std::size_t received = 0;
    for (int round = 0; round < 4; ++round) {
        received += newsAfter(view, upTo, true, 4, upTo).size();
    }
    EXPECT_EQ(received, 10U);
    EXPECT_TRUE(newsAfter(view, upTo, true, 4, upTo).empty());
}

} // namespace

} // namespace ibislock::membership
