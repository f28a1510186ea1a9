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
    EXPECT_FALSE(noteTick(stalls, Millis{0}, DueAt));
    EXPECT_EQ(stalls.longest, Millis{0});
}

TEST(LoopStallsTest, ATickThatIsLateByLessThanTheLimitIsNotToldButCounts)
{
    LoopStalls stalls;
    const Millis late = StallToTell - Millis{1};
    EXPECT_FALSE(noteTick(stalls, DueAt, DueAt + late));
    EXPECT_EQ(stalls.longest, late);
}

TEST(LoopStallsTest, ATickThatIsLateByTheLimitIsTold)
{
    LoopStalls stalls;
    EXPECT_EQ(noteTick(stalls, DueAt, DueAt + StallToTell), StallToTell);
    EXPECT_EQ(stalls.longest, StallToTell);
}

TEST(LoopStallsTest, TheLongestPauseIsKeptWhenShorterOnesFollow)
{
    LoopStalls stalls;
    noteTick(stalls, DueAt, DueAt + Millis{900});
    EXPECT_EQ(noteTick(stalls, DueAt * 2, DueAt * 2 + Millis{300}), Millis{300});
    EXPECT_FALSE(noteTick(stalls, DueAt * 3, DueAt * 3));
    EXPECT_EQ(stalls.longest, Millis{900});
}

TEST(LoopStallsTest, ATickThatIsEarlyIsNotAPause)
{
    LoopStalls stalls;
    EXPECT_FALSE(noteTick(stalls, DueAt, DueAt - Millis{1}));
    EXPECT_EQ(stalls.longest, Millis{0});
}

TEST(LoopStallsTest, TheLongestPauseIsAMetric)
{
    std::string out;
    writeStalls(out, {.longest = Millis{901}});
    EXPECT_NE(out.find("\nibislock_loop_longest_stall_ms 901\n"), std::string::npos) << out;
}

} // namespace

} // namespace ibislock
