#include "ibislock/weights/stage_checks.h"

#include <gtest/gtest.h>

namespace ibislock::weights
{

namespace
{

/// Two pieces, of which the first was checked at 1,000 ms.
StageChecks makeChecks()
{
    StageChecks checks;
    recordMatch(checks, 0, Millis{1000});
    recordMatch(checks, 1, Millis{1400});
    return checks;
}

TEST(StageChecksTest, ALoadMayBeOrderedUntilTheOldestCheckIsTooOld)
{
    const StageChecks checks = makeChecks();
    EXPECT_EQ(oldestCheck(checks), Millis{1000});
    EXPECT_TRUE(mayOrderLoad(checks, 2, Millis{1000} + MaxCheckAgeAtOrder));
    EXPECT_FALSE(mayOrderLoad(checks, 2, Millis{1001} + MaxCheckAgeAtOrder));
}

TEST(StageChecksTest, APieceThatWasNotCheckedOrIsCorruptPreventsALoad)
{
    StageChecks checks = makeChecks();
    EXPECT_FALSE(mayOrderLoad(checks, 3, Millis{1400}));
    discardCheck(checks, 1);
    EXPECT_FALSE(mayOrderLoad(checks, 2, Millis{1400}));
    EXPECT_FALSE(isLoadProven(checks, 2, Millis{1400}));
}

TEST(StageChecksTest, AnAcceptedLoadIsProvenOnlyWithinTheTolerance)
{
    const StageChecks checks = makeChecks();
    EXPECT_TRUE(isLoadProven(checks, 2, Millis{1000} + MaxCheckAgeAtResponse));
    EXPECT_FALSE(isLoadProven(checks, 2, Millis{1000} + CorruptionTolerance));
}

TEST(StageChecksTest, SlowReadsRunAtOnceSoThatAllPiecesAreCheckedInTime)
{
    for (const int readMs : {0, 1, 7, 60, 200, 500}) {
        const int atOnce = stageReadsAtOnce(64, Millis{readMs});
        EXPECT_GE(atOnce, 1);
        EXPECT_LE(atOnce, MaxStageReads);
        const int rounds = (64 + atOnce - 1) / atOnce;
        EXPECT_LE(Millis{rounds * readMs}, MaxCheckAgeAtOrder) << readMs;
    }
    EXPECT_EQ(stageReadsAtOnce(64, Millis{0}), 1) << "connections to an engine are not opened without need";
}

} // namespace

} // namespace ibislock::weights
