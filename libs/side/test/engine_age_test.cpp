#include "engine_monitor.h"

#include <gtest/gtest.h>

namespace ibislock::side
{

namespace
{

constexpr std::int64_t Start = 1'000'000;

// The wall clock of a VM may be set while an engine starts.
TEST(EngineAgeTest, AnEngineWhoseStartWasSeenIsAsOldAsItsFirstReport)
{
    EngineAge age;
    recordPoll(age, std::nullopt, Millis{100});
    recordPoll(age, Start, Millis{200});
    recordPoll(age, Start, Millis{300});
    EXPECT_EQ(runningFor(age, {.now = Millis{700}, .wall = Millis{Start + 90000}, .boot = Millis{99000}}), Millis{500});
    recordPoll(age, Start + 5000, Millis{800});
    EXPECT_EQ(runningFor(age, {.now = Millis{900}, .wall = Millis{Start + 90000}, .boot = Millis{99000}}), Millis{100});
}

// A target daemon that was started again took an engine that had run for long for a cold one.
TEST(EngineAgeTest, AnEngineThatWasRunningBeforeIsAsOldAsItSays)
{
    EngineAge age;
    recordPoll(age, Start, Millis{200});
    EXPECT_EQ(runningFor(age, {.now = Millis{700}, .wall = Millis{Start + 90000}, .boot = Millis{99000}}),
              Millis{90000});
    EXPECT_EQ(runningFor(age, {.now = Millis{700}, .wall = Millis{Start + 90000}, .boot = Millis{4000}}), Millis{4000});
    EXPECT_EQ(runningFor(age, {.now = Millis{700}, .wall = Millis{Start - 90000}, .boot = Millis{99000}}), Millis{500});
}

} // namespace

} // namespace ibislock::side
