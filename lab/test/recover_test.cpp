#include "experiments/recover.h"

#include <filesystem>
#include <gtest/gtest.h>
#include <unistd.h>

namespace ibislock::lab
{

namespace
{

constexpr Millis ShortLoad{300};

struct RecoverCase
{
    const char *name;
    RestartShare share;
    bool graceful;
};

class RecoverTest : public testing::TestWithParam<RecoverCase>
{
};

TEST_P(RecoverTest, ServesAgainWithoutAWrongOrUntruthfulAnswer)
{
    const std::string directory = testing::TempDir() + "/ibislock-recover-" + std::to_string(getpid());
    const auto result = runRestart({.binary = IBISLOCK_BINARY,
                                    .directory = directory,
                                    .share = GetParam().share,
                                    .graceful = GetParam().graceful,
                                    .domains = 2,
                                    .entriesPerDomain = 1,
                                    .targetsPerDomain = 2,
                                    .callers = 4,
                                    .warmUp = ShortLoad,
                                    .coolDown = ShortLoad});
    std::filesystem::remove_all(directory);
    ASSERT_FALSE(result.contains("error")) << result.dump(2);
    EXPECT_TRUE(result["full_service_ms"].is_number()) << result.dump(2);
    EXPECT_EQ(result["wrong"], 0) << result.dump(2);
    EXPECT_EQ(result["untruthful"], 0) << result.dump(2);
    EXPECT_LE(result["log_appends"], result["limits"]["log_appends"]) << result.dump(2);
    if (GetParam().graceful) {
        EXPECT_EQ(result["lost"], 0) << result.dump(2);
    }
}

INSTANTIATE_TEST_SUITE_P(Recover, RecoverTest,
                         testing::Values(RecoverCase{"KilledAll", RestartShare::All, false},
                                         RecoverCase{"StoppedDomain", RestartShare::Domain, true}),
                         [](const auto &test) { return std::string(test.param.name); });

} // namespace

} // namespace ibislock::lab
