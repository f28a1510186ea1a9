#include "ibislock/requests/concurrency_limit.h"
#include "ibislock/requests/retry_budget.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace ibislock::requests
{

namespace
{

class ConcurrencyLimitTest : public testing::TestWithParam<std::uint32_t>
{
};

TEST_P(ConcurrencyLimitTest, ConvergesToTheSlotsOfTheEngine)
{
    const std::uint32_t slots = GetParam();
    ConcurrencyLimit limit = makeLimit({.initial = 8, .max = 64});
    for (int i = 0; i < 100; ++i) {
        // The target always has more requests than the limit allows.
        adjust(limit,
               {.inFlight = limit.value,
                .running = std::min(limit.value, slots),
                .queued = limit.value - std::min(limit.value, slots)});
    }
    EXPECT_GE(limit.value, slots);
    EXPECT_LE(limit.value, slots + 1);
}

INSTANTIATE_TEST_SUITE_P(Slots, ConcurrencyLimitTest, testing::Values(1, 4, 8, 32));

TEST(ConcurrencyLimitTest, DoesNotGrowWhileItIsNotReached)
{
    ConcurrencyLimit limit = makeLimit({.initial = 8});
    adjust(limit, {.inFlight = 3, .running = 3});
    EXPECT_EQ(limit.value, 8U);
}

TEST(RetryBudgetTest, AllowsATenthOfTheFirstAttempts)
{
    RetryBudget budget{.available = 0};
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        recordFirstAttempt(budget);
        retries += tryConsumeRetry(budget) ? 1 : 0;
        retries += tryConsumeRetry(budget) ? 1 : 0;
    }
    EXPECT_NEAR(retries, 100, 1);
}

} // namespace

} // namespace ibislock::requests
