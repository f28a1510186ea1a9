#include "ibislock/serving/workspace_shares.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

// Guards against one workspace that takes the slots of all others, and against a reserve after its load has ended.
TEST(WorkspaceSharesTest, AWorkspaceWithEightTimesItsShareIsHeavyWhileItLasts)
{
    WorkspaceShares shares;
    for (int n = 0; n < 600; ++n) {
        const Millis now{n * 140};
        recordWorkspace(shares, n % 4 == 0 ? "heavy" : "w" + std::to_string(n % 23), now);
    }
    EXPECT_GT(workspaceReserve(shares, "heavy", Millis{84000}), 0);
    EXPECT_EQ(workspaceReserve(shares, "w1", Millis{84000}), 0);
    EXPECT_EQ(workspaceReserve(shares, "heavy", Millis{120000}), 0);
}

// Guards against a reserve on deployments with one workspace or with few requests.
TEST(WorkspaceSharesTest, AWorkspaceAloneIsNotHeavy)
{
    WorkspaceShares shares;
    for (int n = 0; n < 600; ++n) {
        recordWorkspace(shares, "w", Millis{n * 10});
    }
    EXPECT_EQ(workspaceReserve(shares, "w", Millis{6000}), 0);
    EXPECT_EQ(workspaceReserve(shares, "unknown", Millis{6000}), 0);
}

} // namespace

} // namespace ibislock::serving
