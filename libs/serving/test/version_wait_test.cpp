// Guards against callers that use up their retry before any engine can have the required weights.

#include "ibislock/serving/version_wait.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

constexpr Millis Now{10000};

void add(TargetTable &table, const std::string &id, const TargetLoad &load)
{
    Target &target = table.targets[id];
    target.entry.service = "s";
    target.load = load;
}

TEST(VersionWaitTest, TheFirstScheduledLoadCounts)
{
    TargetTable table;
    EXPECT_EQ(timeUntilNextLoad(table, "s", 2, Now), Millis{0});
    add(table, "a", {.loadStartsAt = Now + Millis{1500}, .receivedAt = Now});
    add(table, "b", {.loadStartsAt = Now + Millis{700}, .receivedAt = Now});
    add(table, "c", {.receivedAt = Now});
    EXPECT_EQ(timeUntilNextLoad(table, "s", 2, Now), Millis{700});
    EXPECT_EQ(timeUntilNextLoad(table, "s", 0, Now), Millis{0}) << "another cause than the version";
    EXPECT_EQ(timeUntilNextLoad(table, "other", 2, Now), Millis{0});
}

TEST(VersionWaitTest, ALoadThatIsUnderWayCountsAndAnOldReportDoesNot)
{
    TargetTable table;
    add(table, "a", {.loadStartsAt = Now + Millis{900}, .receivedAt = Now});
    add(table, "b", {.loadStartsAt = Now + Millis{100}, .receivedAt = Now - Millis{1000}});
    EXPECT_EQ(timeUntilNextLoad(table, "s", 2, Now), Millis{900});
    add(table, "c", {.loading = true, .receivedAt = Now});
    EXPECT_EQ(timeUntilNextLoad(table, "s", 2, Now), Millis{0});
}

} // namespace

} // namespace ibislock::serving
