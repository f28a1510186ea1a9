#include "ibislock/serving/slot_contention.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

// Guards against slots that stay free below capacity, and for an entry VM that is alone.
TEST(SlotContentionTest, EveryFreeSlotMayBeUsedWithoutContention)
{
    EXPECT_EQ(useProbability({.entryVms = 32, .demand = 0.5}, 20), 1);
    EXPECT_EQ(useProbability({.entryVms = 1, .demand = 50}, 1), 1);
}

// Guards against several requests for each free slot: over 32 entry VMs, one may use it on average.
TEST(SlotContentionTest, AFreeSlotIsUsedByOneEntryVmOnAverage)
{
    constexpr int EntryVms = 32;
    Random random(1);
    const double probability = useProbability({.entryVms = EntryVms, .demand = 3}, 2, 1.0);
    int users = 0;
    constexpr int Reports = 1000;
    for (int vm = 0; vm < EntryVms; ++vm) {
        Target target;
        for (int n = 1; n <= Reports; ++n) {
            target.load = TargetLoad{.receivedAt = Millis{n * 100}};
            const bool may = mayUseSlots(target, probability, random);
            EXPECT_EQ(may, mayUseSlots(target, probability, random)); // Not drawn again for the same report.
            users += may ? 1 : 0;
        }
    }
    EXPECT_GT(users, Reports * 0.8);
    EXPECT_LT(users, Reports * 1.2);
}

// Guards against slots that nobody uses although a waiting request of this VM could: the one that it left itself.
TEST(SlotContentionTest, ASlotThatThisVmHasLeftIsUsedAtOnce)
{
    Random random(1);
    Target target{.load = TargetLoad{.running = 12, .receivedAt = Millis{100}}};
    EXPECT_FALSE(mayUseSlots(target, 0, random));
    recordEnd(target, Millis{150});
    EXPECT_TRUE(mayUseSlots(target, 0, random));
    EXPECT_EQ(slotsLeft(target), 1);
    target.load->receivedAt = Millis{200}; // The next report includes it.
    EXPECT_EQ(slotsLeft(target), 0);
}

TEST(SlotContentionTest, DemandFollowsArrivalsAndDecays)
{
    DemandMeter meter;
    for (int n = 0; n < 1000; ++n) {
        recordArrival(meter, Millis{n * 20});
    }
    EXPECT_NEAR(demandAt(meter, Millis{20000}), 5, 0.2);
    EXPECT_LT(demandAt(meter, Millis{30000}), 0.1);
}

} // namespace

} // namespace ibislock::serving
