#include "ibislock/base/random.h"
#include "ibislock/membership/view.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ibislock::membership
{

namespace
{

constexpr ViewOptions Options;

/// Creates an update on one VM from a few small numbers, so that many updates are equal or conflict. Reports of the
/// same age always have the same content.
MembershipUpdate updateOf(std::uint8_t choice)
{
    MembershipUpdate update;
    update.report = {.vm = "t1",
                     .domain = "north",
                     .address = "127.0.0.1:1",
                     .incarnation = 1 + choice % 2U,
                     .started = 1 + choice % 2U,
                     .revision = choice / 2U % 2U,
                     .sequence = choice / 4U % 3U};
    update.report.phase = update.report.revision == 0 ? "serving" : "draining";
    if ((choice & 0x40U) != 0) {
        update.suspectedBy.insert("e1");
    }
    if ((choice & 0x80U) != 0) {
        update.suspectedBy.insert("e2");
    }
    return update;
}

MembershipUpdate updateIn(const View &view)
{
    const Member &member = *find(view, "t1");
    return {.report = member.report, .suspectedBy = member.suspectedBy};
}

TEST(MergeTest, IsCommutativeAssociativeAndIdempotent)
{
    EXPECT_TRUE(rc::check([](std::uint8_t x, std::uint8_t y, std::uint8_t z) {
        const MembershipUpdate a = updateOf(x);
        const MembershipUpdate b = updateOf(y);
        const MembershipUpdate c = updateOf(z);
        RC_ASSERT(mergedUpdate(a, b) == mergedUpdate(b, a));
        RC_ASSERT(mergedUpdate(a, mergedUpdate(b, c)) == mergedUpdate(mergedUpdate(a, b), c));
        RC_ASSERT(mergedUpdate(a, a) == a);
    }));
}

TEST(MergeTest, AnyOrderAndRepetitionOfUpdatesGivesTheSameView)
{
    EXPECT_TRUE(rc::check([](std::vector<std::uint8_t> choices, std::uint64_t seed) {
        RC_PRE(!choices.empty());
        View inOrder{.domain = "north"};
        for (const std::uint8_t choice : choices) {
            applyUpdate(inOrder, updateOf(choice), Options, Millis(1));
        }
        std::vector<std::uint8_t> choicesTwice = choices;
        choicesTwice.insert(choicesTwice.end(), choices.begin(), choices.end());
        Random random(seed);
        std::shuffle(choicesTwice.begin(), choicesTwice.end(), random);
        View shuffled{.domain = "north"};
        for (const std::uint8_t choice : choicesTwice) {
            applyUpdate(shuffled, updateOf(choice), Options, Millis(1));
        }
        RC_ASSERT(updateIn(inOrder) == updateIn(shuffled));
        RC_ASSERT(fingerprintOf(inOrder) == fingerprintOf(shuffled));
    }));
}

TEST(MergeTest, AVmIsUnreachableOnlyIfTwoDelegatesSuspectIt)
{
    View view{.domain = "north"};
    MembershipUpdate update = updateOf(0);
    applyUpdate(view, update, Options, Millis(0));
    refreshDomain(view, "north", Millis(1000));
    markSuspected(view, "t1", {"e1"}, Millis(1000));
    EXPECT_TRUE(isUsable(*find(view, "t1"), Options, Millis(1000)));
    markSuspected(view, "t1", {"e2"}, Millis(1000));
    EXPECT_FALSE(isUsable(*find(view, "t1"), Options, Millis(1000)));
    ++update.report.sequence;
    applyUpdate(view, update, Options, Millis(1001));
    EXPECT_TRUE(isUsable(*find(view, "t1"), Options, Millis(1001)));
}

TEST(MergeTest, AHeartbeatOfAnUnknownRevisionNeedsTheReport)
{
    View view{.domain = "north"};
    const MembershipUpdate update = updateOf(0);
    applyUpdate(view, update, Options, Millis(0));
    Heartbeat heartbeat{.vm = "t1", .domain = "north", .incarnation = update.report.incarnation, .sequence = 9};
    EXPECT_TRUE(applyHeartbeat(view, heartbeat, Options, Millis(1)));
    heartbeat.revision = 1;
    EXPECT_FALSE(applyHeartbeat(view, heartbeat, Options, Millis(2)));
}

TEST(MergeTest, AStaleConfirmationOfADomainDoesNotMakeAVmUsable)
{
    View view{.domain = "north"};
    MembershipUpdate update = updateOf(0);
    update.report.domain = "south";
    applyUpdate(view, update, Options, Millis(50000));
    refreshDomain(view, "south", Millis(50000) - Options.remoteLifetime - Millis(1));
    EXPECT_FALSE(isUsable(*find(view, "t1"), Options, Millis(50000)));
}

TEST(MergeTest, UpdatesAreReturnedOnceAndInBoundedBatches)
{
    View view{.domain = "north"};
    for (int i = 0; i < 10; ++i) {
        MembershipUpdate update = updateOf(0);
        update.report.vm = "t" + std::to_string(i);
        applyUpdate(view, update, Options, Millis(0));
    }
    std::uint64_t upTo = 0;
    std::size_t received = 0;
    for (int i = 0; i < 4; ++i) {
        received += updatesAfter(view, upTo, true, 4, upTo).size();
    }
    EXPECT_EQ(received, 10U);
    EXPECT_TRUE(updatesAfter(view, upTo, true, 4, upTo).empty());
}

} // namespace

} // namespace ibislock::membership
