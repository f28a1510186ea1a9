#include "ibislock/feed/operators_view.h"

#include <gtest/gtest.h>

namespace ibislock::feed
{

namespace
{

platform::KeyedRecord state(int version)
{
    return {
        .key = "config", .value = R"({"Version":)" + std::to_string(version) + "}", .position = {.offset = version}};
}

TEST(OperatorsViewTest, AnOlderStateNeverReplacesANewerOne)
{
    OperatorsView view;
    EXPECT_TRUE(applyRecord(view, state(7), {}));
    EXPECT_FALSE(applyRecord(view, state(6), {}));
    EXPECT_FALSE(applyRecord(view, state(7), {}));
    EXPECT_EQ(view.state->version, 7);
}

TEST(OperatorsViewTest, InvalidAndDeletedRecordsChangeNothing)
{
    OperatorsView view;
    applyRecord(view, state(7), {});
    EXPECT_FALSE(applyRecord(view, {.key = "config", .value = "no json", .position = {.offset = 8}}, {}));
    EXPECT_FALSE(applyRecord(view, {.key = "config", .value = std::nullopt, .position = {.offset = 9}}, {}));
    EXPECT_FALSE(applyRecord(view, {.key = "version/m", .value = R"({"Model":3})", .position = {.offset = 10}}, {}));
    EXPECT_EQ(view.state->version, 7);
    EXPECT_TRUE(view.announced.empty());
}

TEST(OperatorsViewTest, AnAnnouncementInASnapshotCountsAsOld)
{
    OperatorsView view;
    const platform::KeyedRecord announcement{
        .key = "version/m", .value = R"({"Model":"m","Version":2})", .position = {.offset = 1}};
    EXPECT_TRUE(applyRecord(view, announcement, {.live = false, .now = Millis{9000}, .versionTime = Millis{8000}}));
    EXPECT_EQ(view.announced.at("m").front().learntAt, Millis{1000});
    EXPECT_EQ(view.announced.at("m").front().timeSource, serving::AnnouncementTimeSource::Unknown);
}

// Deletions were ignored, as those of other keys are.
TEST(OperatorsViewTest, AnEvacuationBeginsWithItsRecordAndEndsWithItsDeletion)
{
    OperatorsView view;
    const auto record = [](const std::optional<std::string> &value, std::int64_t offset) {
        return platform::KeyedRecord{.key = "evacuate/d", .value = value, .position = {.offset = offset}};
    };
    EXPECT_TRUE(applyRecord(view, record("{}", 3), {}));
    EXPECT_TRUE(view.evacuations.active.contains("d"));
    EXPECT_FALSE(applyRecord(view, record("{}", 3), {.live = false}));
    EXPECT_TRUE(applyRecord(view, record(std::nullopt, 4), {}));
    EXPECT_TRUE(view.evacuations.active.empty());
    EXPECT_FALSE(applyRecord(view, record("{}", 3), {.live = false})) << "from a VM that is behind";
    EXPECT_FALSE(applyRecord(view, {.key = "evacuate/", .value = "{}", .position = {.offset = 5}}, {}));
}

} // namespace

} // namespace ibislock::feed
