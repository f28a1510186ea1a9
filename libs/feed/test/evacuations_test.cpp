#include "ibislock/feed/evacuations.h"

#include <gtest/gtest.h>

namespace ibislock::feed
{

namespace
{

constexpr TopicPosition Begin{.era = 1, .offset = 5};
constexpr TopicPosition Unknown{};

/// A record that is read while domain "d" is in a state, and the change.
struct EvacuationCase
{
    std::string name;
    bool active = true; ///< Whether the newest record, at `Begin`, has a value.
    EvacuationRecord record;
    EvacuationChange change = EvacuationChange::None;
};

class EvacuationTest : public testing::TestWithParam<EvacuationCase>
{
};

// An older deletion or the lack of the record in a restored topic ended an evacuation.
TEST_P(EvacuationTest, OnlyANewerRecordChangesADomain)
{
    Evacuations evacuations;
    applyEvacuation(evacuations, {.domain = "d", .position = Begin, .deleted = !GetParam().active}, Millis{10});
    EXPECT_EQ(evacuations.active.contains("d"), GetParam().active);
    EXPECT_EQ(applyEvacuation(evacuations, GetParam().record, Millis{20}), GetParam().change);
    const bool changed = GetParam().change != EvacuationChange::None;
    EXPECT_EQ(evacuations.active.contains("d"), GetParam().active != changed);
    EXPECT_EQ(evacuations.newest.at("d").changedAt == Millis{20}, changed);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, EvacuationTest,
    testing::Values(
        EvacuationCase{"Deleted", true, {"d", {1, 6}, true}, EvacuationChange::Ended},
        EvacuationCase{"DeletedBefore", true, {"d", {1, 4}, true}, EvacuationChange::None},
        EvacuationCase{"DeletedAfterARestore", true, {"d", {2, 1}, true}, EvacuationChange::Ended},
        EvacuationCase{"DeletedAtAnUnknownPosition", true, {"d", Unknown, true}, EvacuationChange::None},
        EvacuationCase{"ReadAgain", true, {"d", Begin, false}, EvacuationChange::None},
        EvacuationCase{"BegunAgain", false, {"d", {1, 6}, false}, EvacuationChange::Begun},
        EvacuationCase{"BegunBeforeItsDeletion", false, {"d", {1, 4}, false}, EvacuationChange::None},
        EvacuationCase{"InARestoredTopicBehindItsDeletion", false, {"d", {2, 4}, false}, EvacuationChange::Begun},
        EvacuationCase{"OfAnotherVmBehindItsDeletion", false, {"d", Unknown, false}, EvacuationChange::None}),
    [](const auto &item) { return item.param.name; });

TEST(EvacuationsTest, ARecordThatTheTopicLacksEndsWithAnyLaterDeletion)
{
    Evacuations evacuations;
    EXPECT_EQ(applyEvacuation(evacuations, {.domain = "d"}, Millis{1}), EvacuationChange::Begun);
    EXPECT_EQ(applyEvacuation(evacuations, {.domain = "e", .position = Begin}, Millis{1}), EvacuationChange::Begun);
    EXPECT_EQ(evacuations.active.size(), 2U);
    EXPECT_EQ(applyEvacuation(evacuations, {.domain = "d", .position = {0, 0}, .deleted = true}, Millis{2}),
              EvacuationChange::Ended);
    EXPECT_EQ(evacuations.active.size(), 1U);
}

} // namespace

} // namespace ibislock::feed
