#include "ibislock/serving/entry_vm_count.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

/// Time between two reports.
constexpr Millis ReportInterval{300};

TEST(EntryVmCountTest, ATargetVmThatHasJustStartedDoesNotLowerTheNumber)
{
    EntryVmCount count = assumedEntryVms(1, Millis{0});
    for (Millis now{0}; now < Millis{60000}; now += ReportInterval) {
        recordEntryVms(count, 38, now);
        recordEntryVms(count, 0, now + Millis{1});
        recordEntryVms(count, 2, now + Millis{2});
        EXPECT_EQ(entryVms(count), 38);
    }
}

TEST(EntryVmCountTest, ANumberThatIsReportedNoMoreIsForgotten)
{
    EntryVmCount count = assumedEntryVms(1, Millis{0});
    recordEntryVms(count, 38, Millis{0});
    Millis now{0};
    for (; now < EntryVmCountWindow; now += ReportInterval) {
        recordEntryVms(count, 8, now);
        EXPECT_EQ(entryVms(count), 38);
    }
    for (; now <= EntryVmCountWindow * 2 + ReportInterval; now += ReportInterval) {
        recordEntryVms(count, 8, now);
    }
    EXPECT_EQ(entryVms(count), 8);
}

TEST(EntryVmCountTest, TheAssumedNumberHoldsUntilOthersWereReportedForAWhile)
{
    EntryVmCount count = assumedEntryVms(16, Millis{1000});
    EXPECT_EQ(entryVms(count), 16);
    recordEntryVms(count, 3, Millis{1100});
    EXPECT_EQ(entryVms(count), 16);
    recordEntryVms(count, 40, Millis{1200});
    EXPECT_EQ(entryVms(count), 40);
}

} // namespace

} // namespace ibislock::serving
