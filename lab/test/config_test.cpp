#include "experiments/config_run.h"
#include "experiments/config_watch.h"

#include <gtest/gtest.h>

namespace ibislock::lab
{

namespace
{

TEST(ConfigWatchTest, TimesATicketUntilTheLastDaemonHasIt)
{
    Watch watch;
    noteUp(watch, "a", Millis(0));
    noteUp(watch, "b", Millis(0));
    observe(watch, "a", {.lastTicket = 1}, Millis(10));
    observe(watch, "b", {.lastTicket = 1}, Millis(35));
    EXPECT_EQ(inForceTimes(watch).undisturbedMs, std::vector<double>{25});
}

TEST(ConfigWatchTest, MeasuresADisturbedDaemonFromTheEndOfItsFault)
{
    Watch watch;
    noteUp(watch, "a", Millis(0));
    noteUp(watch, "b", Millis(0));
    noteDisturbed(watch, "b", Millis(5));
    observe(watch, "a", {.lastTicket = 1}, Millis(10));
    noteUndisturbed(watch, "b", Millis(1000));
    observe(watch, "b", {.lastTicket = 1}, Millis(1040));
    EXPECT_EQ(inForceTimes(watch).undisturbedMs, std::vector<double>{0});
    EXPECT_EQ(watch.catchUpMaxMs, 40);
}

TEST(ConfigWatchTest, CountsWhatWentBackAndWhatDiffers)
{
    Watch watch;
    noteUp(watch, "a", Millis(0));
    observe(watch, "a", {.lastTicket = 2, .lastContent = sha256("x")}, Millis(1));
    observe(watch, "b", {.lastTicket = 2, .lastContent = sha256("y")}, Millis(2));
    observe(watch, "a", {.lastTicket = 1, .lastContent = sha256("z")}, Millis(3));
    EXPECT_EQ(watch.doubleAccepted, 1U);
    EXPECT_EQ(watch.reverted, 1U);
}

TEST(ConfigFaultsTest, RefusesUnknownNamesAndAmounts)
{
    EXPECT_TRUE(faultPlanFrom({"trim", "log-outage=0.5", "trim"}));
    EXPECT_FALSE(faultPlanFrom({"flood"}));
    EXPECT_FALSE(faultPlanFrom({"log-outage=soon"}));
    EXPECT_FALSE(faultPlanFrom({"log-outage=-1"}));
}

/// Faults together, and no accepted ticket is lost, reverted or accepted twice.
class ConfigRunTest : public testing::TestWithParam<std::vector<std::string>>
{
};

TEST_P(ConfigRunTest, KeepsEveryAcceptedTicket)
{
    const auto result = runConfigOnce({.entries = 3,
                                       .targets = 3,
                                       .domains = 3,
                                       .tickets = 12,
                                       .racers = 2,
                                       .seed = 7,
                                       .faults = faultPlanFrom(GetParam()).value()});
    EXPECT_EQ(result["accepted"], 12) << result.dump();
    for (const char *field : {"lost", "reverted", "double_accepted", "never_seen"}) {
        EXPECT_EQ(result[field], 0) << field << " in " << result.dump();
    }
}

INSTANTIATE_TEST_SUITE_P(Faults, ConfigRunTest,
                         testing::Values(std::vector<std::string>{"trim", "restart-entries", "lost-answers=0.2"},
                                         std::vector<std::string>{"partition=0.5", "restart-all-of-domain",
                                                                  "duplicate-records=0.3"}));

} // namespace

} // namespace ibislock::lab
