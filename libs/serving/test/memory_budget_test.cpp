// The budget of callers' connections: what is evicted for what, and that the sum stays within its limit.

#include "ibislock/serving/memory_budget.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace ibislock::serving
{

namespace
{

constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t Megabyte = 1024 * Kilobyte;

/// Later than any of the times after which a connection counts as stalled.
constexpr Millis Later{2000};

MemoryBudget smallBudget()
{
    return {.limits = {.bytes = 10 * Megabyte, .reservedBytes = 2 * Megabyte, .connections = 20}};
}

/// Opens a connection that holds something.
HolderId holderOf(MemoryBudget &budget, HolderPhase phase, std::size_t bytes, Millis now)
{
    const HolderId id = *openHolder(budget, now).id;
    setPhase(budget, id, phase, now);
    EXPECT_TRUE(setBytes(budget, id, bytes, now).granted);
    return id;
}

// Guards against a refusal while bodies that have stopped coming hold the memory.
TEST(MemoryBudgetTest, UnfinishedBodiesWithoutProgressGiveWayFirst)
{
    MemoryBudget budget = smallBudget();
    const HolderId moving = holderOf(budget, HolderPhase::Receiving, 4 * Megabyte, Millis{0});
    const HolderId stalled = holderOf(budget, HolderPhase::Receiving, 3 * Megabyte, Millis{0});
    recordProgress(budget, moving, Later);
    const HolderId asking = holderOf(budget, HolderPhase::Receiving, 0, Later);
    const GrantResult grant = setBytes(budget, asking, 2 * Megabyte, Later);
    EXPECT_TRUE(grant.granted);
    EXPECT_EQ(grant.evicted, std::vector{stalled});
}

// Guards against a large body that drives out smaller ones which are as fast.
TEST(MemoryBudgetTest, ALargeBodyDrivesOutOnlyWhatHeldMoreForLonger)
{
    MemoryBudget budget = smallBudget();
    const HolderId lesser = holderOf(budget, HolderPhase::Receiving, 1 * Megabyte, Millis{0});
    const HolderId larger = holderOf(budget, HolderPhase::Receiving, 6 * Megabyte, Millis{100});
    recordProgress(budget, lesser, Later);
    recordProgress(budget, larger, Later);
    const GrantResult refused = setBytes(budget, larger, 8 * Megabyte - 3 * ConnectionBytes, Later);
    EXPECT_FALSE(refused.granted);
    EXPECT_TRUE(refused.evicted.empty());
    EXPECT_EQ(setBytes(budget, lesser, 3 * Megabyte, Later).evicted, std::vector{larger});
}

// Guards against a request that has run being lost because others need memory.
TEST(MemoryBudgetTest, RequestsAtTargetsAreNeverEvicted)
{
    MemoryBudget budget = smallBudget();
    const HolderId atTarget = holderOf(budget, HolderPhase::AtTarget, 7 * Megabyte, Millis{0});
    const HolderId asking = holderOf(budget, HolderPhase::Receiving, 0, Later);
    EXPECT_FALSE(setBytes(budget, asking, 4 * Megabyte, Later).granted);
    EXPECT_TRUE(budget.holders.contains(atTarget));
    EXPECT_TRUE(budget.holders.contains(asking));
}

// Guards against ordinary requests that are refused because large ones hold everything.
TEST(MemoryBudgetTest, TheReserveIsForSmallRequests)
{
    MemoryBudget budget = smallBudget();
    holderOf(budget, HolderPhase::AtTarget, 7 * Megabyte, Millis{0});
    const HolderId large = holderOf(budget, HolderPhase::AtTarget, 0, Millis{0});
    EXPECT_FALSE(setBytes(budget, large, 2 * Megabyte, Millis{0}).granted);
    EXPECT_FALSE(admitsBody(budget, 2 * Megabyte, Millis{0}));
    const HolderId small = holderOf(budget, HolderPhase::Receiving, 20 * Kilobyte, Millis{0});
    EXPECT_TRUE(setBytes(budget, small, SmallHolderBytes, Millis{0}).granted);
    EXPECT_TRUE(admitsBody(budget, 300, Millis{0}));
}

// Guards against responses that are never read holding the memory until their callers leave.
TEST(MemoryBudgetTest, UnreadResponsesGiveWayBehindStalledBodies)
{
    MemoryBudget budget = smallBudget();
    const HolderId unread = holderOf(budget, HolderPhase::Responding, 4 * Megabyte, Millis{0});
    const HolderId stalled = holderOf(budget, HolderPhase::Receiving, 3 * Megabyte, Millis{100});
    const HolderId asking = holderOf(budget, HolderPhase::Receiving, 0, Later);
    EXPECT_EQ(setBytes(budget, asking, 2 * Megabyte, Later).evicted, std::vector{stalled});
    EXPECT_EQ(setBytes(budget, asking, 5 * Megabyte, Later).evicted, std::vector{unread});
}

// Guards against idle connections that keep out new ones, and against closing those that carry requests.
TEST(MemoryBudgetTest, ANewConnectionTakesThePlaceOfOneThatNeverSentARequest)
{
    MemoryBudget budget = smallBudget();
    budget.limits.connections = 3;
    const HolderId served = holderOf(budget, HolderPhase::AtTarget, 0, Millis{0});
    setPhase(budget, served, HolderPhase::Idle, Millis{0});
    holderOf(budget, HolderPhase::AtTarget, 0, Millis{0});
    const HolderId silent = *openHolder(budget, Millis{100}).id;
    EXPECT_FALSE(openHolder(budget, Millis{200}).id); // None has been silent for long.
    EXPECT_EQ(openHolder(budget, Later).evicted, std::vector{silent});
    EXPECT_EQ(openHolder(budget, Later).evicted, std::vector{served});
    EXPECT_FALSE(openHolder(budget, Later).id);
}

// Guards against limits of a small VM that leave no room for what callers may send in calm.
TEST(MemoryBudgetTest, TheSmallestVmHasRoomForTheLargestRequest)
{
    const MemoryLimits limits = memoryLimits(112, 2870);
    EXPECT_GT(limits.bytes - limits.reservedBytes, 3 * 4 * Megabyte);
    EXPECT_LT(limits.bytes, 60 * Megabyte);
    EXPECT_GT(limits.connections, 500U);
    EXPECT_LT(limits.connections + limits.targetConnections, 2670U);
}

TEST(MemoryBudgetTest, ABodyMayPauseButNotTrickle)
{
    constexpr Millis Patience{3000};
    EXPECT_FALSE(isBodyTooSlow(0, Millis{2900}, Millis{2900}, Patience));
    EXPECT_TRUE(isBodyTooSlow(1 << 20U, Millis{9000}, Millis{3100}, Patience));
    EXPECT_FALSE(isBodyTooSlow(5000, Millis{5000}, Millis{100}, Patience));
    EXPECT_TRUE(isBodyTooSlow(4000, Millis{5000}, Millis{100}, Patience));
}

// Guards against a sum that exceeds the limit or doesn't return to zero, whatever happens in whichever order.
RC_GTEST_PROP(MemoryBudgetTest, TheSumStaysWithinTheLimit, ())
{
    MemoryBudget budget = smallBudget();
    std::vector<HolderId> open;
    Millis now{0};
    for (int n = *rc::gen::inRange(1, 200); n > 0; --n) {
        now += Millis{*rc::gen::inRange(0, 400)};
        const HolderId id = open.empty() ? 0 : open[*rc::gen::inRange<std::size_t>(0, open.size())];
        std::vector<HolderId> evicted;
        switch (*rc::gen::inRange(0, 5)) {
        case 0: {
            const OpenResult opened = openHolder(budget, now);
            evicted = opened.evicted;
            if (opened.id) {
                open.push_back(*opened.id);
            }
            break;
        }
        case 1:
            closeHolder(budget, id);
            std::erase(open, id);
            break;
        case 2:
            setPhase(budget, id, static_cast<HolderPhase>(*rc::gen::inRange(0, 5)), now);
            break;
        default:
            evicted = setBytes(budget, id, *rc::gen::inRange<std::size_t>(0, 5 * Megabyte), now).evicted;
        }
        for (const HolderId gone : evicted) {
            RC_ASSERT(!budget.holders.contains(gone));
            std::erase(open, gone);
        }
        RC_ASSERT(budget.used <= budget.limits.bytes);
        RC_ASSERT(budget.holders.size() == open.size());
    }
    for (const HolderId id : open) {
        closeHolder(budget, id);
    }
    RC_ASSERT(budget.used == 0U);
}

} // namespace

} // namespace ibislock::serving
