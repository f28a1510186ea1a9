#include "ibislock/base/loop_stalls.h"

#include <gtest/gtest.h>

namespace ibislock
{

namespace
{

constexpr Millis DueAt{5000};

TEST(LoopStallsTest, TheFirstTickIsNeverLate)
{
    LoopStalls stalls;
    EXPECT_FALSE(recordTick(stalls, Millis{0}, DueAt));
    EXPECT_EQ(stalls.longest, Millis{0});
}

TEST(LoopStallsTest, ADelayBelowTheThresholdIsRecordedButNotReported)
{
    LoopStalls stalls;
    const Millis delay = StallReportThreshold - Millis{1};
    EXPECT_FALSE(recordTick(stalls, DueAt, DueAt + delay));
    EXPECT_EQ(stalls.longest, delay);
}

TEST(LoopStallsTest, ADelayAtTheThresholdIsReported)
{
    LoopStalls stalls;
    EXPECT_EQ(recordTick(stalls, DueAt, DueAt + StallReportThreshold), StallReportThreshold);
    EXPECT_EQ(stalls.longest, StallReportThreshold);
}

TEST(LoopStallsTest, TheLongestStallIsKeptWhenShorterOnesFollow)
{
    LoopStalls stalls;
    recordTick(stalls, DueAt, DueAt + Millis{900});
    EXPECT_EQ(recordTick(stalls, DueAt * 2, DueAt * 2 + Millis{300}), Millis{300});
    EXPECT_FALSE(recordTick(stalls, DueAt * 3, DueAt * 3));
    EXPECT_EQ(stalls.longest, Millis{900});
}

TEST(LoopStallsTest, AnEarlyTickIsNotAStall)
{
    LoopStalls stalls;
    EXPECT_FALSE(recordTick(stalls, DueAt, DueAt - Millis{1}));
    EXPECT_EQ(stalls.longest, Millis{0});
}

TEST(LoopStallsTest, TheLongestStallIsExportedAsAMetric)
{
    std::string out;
    writeStallMetrics(out, {.longest = Millis{901}});
    EXPECT_NE(out.find("\nibislock_loop_longest_stall_ms 901\n"), std::string::npos) << out;
}

} // namespace

} // namespace ibislock
