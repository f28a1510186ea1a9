#include "ibislock/feed/operators_watermark.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace ibislock::feed
{

namespace
{

TopicPosition at(std::int64_t offset, std::int64_t era)
{
    return {.era = era, .offset = offset};
}

// The end of a restored topic is lower than the one that was known before.
TEST(OperatorsWatermarkTest, AnEndOfALaterEraReplacesAHigherOffset)
{
    OperatorsWatermark watermark{.end = at(30, 1), .announcementsEnd = at(20, 1), .asOf = Millis{500}};
    EXPECT_TRUE(mergeWatermark(watermark, {.end = at(3, 2), .announcementsEnd = at(1, 2), .asOf = Millis{400}}));
    EXPECT_EQ(watermark.end, at(3, 2));
    EXPECT_EQ(watermark.announcementsEnd, at(1, 2));
    EXPECT_EQ(watermark.asOf, Millis{400}) << "when the topic of the earlier era ended says nothing";
}

TEST(OperatorsWatermarkTest, AnEndOfAnEarlierEraIsIgnored)
{
    OperatorsWatermark watermark{.end = at(3, 2), .asOf = Millis{400}};
    EXPECT_FALSE(mergeWatermark(watermark, {.end = at(30, 1), .asOf = Millis{600}}));
    EXPECT_FALSE(mergeWatermark(watermark, {.end = at(30, 0), .asOf = Millis{600}})) << "of an earlier release";
    EXPECT_EQ(watermark.end, at(3, 2));
    EXPECT_EQ(watermark.asOf, Millis{400});
}

TEST(OperatorsWatermarkTest, AnnouncementsAreOrderedByTheirEra)
{
    OperatorsWatermark watermark{.end = at(30, 1), .announcementsEnd = at(20, 1)};
    recordAnnouncementPosition(watermark, at(2, 2));
    EXPECT_EQ(watermark.announcementsEnd, at(3, 2));
    recordAnnouncementPosition(watermark, at(25, 1));
    EXPECT_EQ(watermark.announcementsEnd, at(3, 2));
}

// Reports arrive in any order and any number of times; each VM ends up with the greatest position.
RC_GTEST_PROP(OperatorsWatermarkProperty, KnowledgeNeverGoesBackAndAllKnowTheNewest, ())
{
    const auto steps = *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 1 << 16));
    std::vector<OperatorsWatermark> vms(3);
    TopicPosition store = at(0, 1);
    for (const int step : steps) {
        const auto vm = static_cast<std::size_t>(step / 8) % vms.size();
        const TopicPosition before = vms[vm].end;
        switch (step % 8) {
        case 0:
            store = at(std::max<std::int64_t>(0, store.offset - step / 64 % 6), store.era + 1);
            break;
        case 1:
        case 2:
            ++store.offset;
            break;
        case 3:
        case 4:
            mergeWatermark(vms[vm], {.end = store});
            break;
        default:
            mergeWatermark(vms[vm], vms[static_cast<std::size_t>(step / 64) % vms.size()]);
        }
        RC_ASSERT(vms[vm].end >= before);
        RC_ASSERT(vms[vm].end <= store);
    }
    mergeWatermark(vms.front(), {.end = store});
    for (OperatorsWatermark &vm : vms) {
        mergeWatermark(vm, vms.front());
        RC_ASSERT(vm.end == store);
    }
}

} // namespace

} // namespace ibislock::feed
