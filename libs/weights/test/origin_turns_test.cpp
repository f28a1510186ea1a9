// Guards against many VMs requesting the same pieces from the origin, during an outage of the origin and after it.

#include "origin_simulation.h"

#include <gtest/gtest.h>
#include <iostream>

namespace ibislock::weights
{

namespace
{

/// The time in which the first VM must be complete after the recovery, for a link that is never idle.
Millis firstLimit(const testing::OriginSimulationOptions &options, const testing::OriginSimulationResult &result)
{
    return options.pieceTime * result.missing * 12 / 10;
}

class OriginOutageTest : public ::testing::TestWithParam<int>
{
protected:
    void expectWithinLimits(const testing::OriginSimulationOptions &options)
    {
        const auto result = simulateOrigin(options);
        std::cout << options.vms << " VMs: missing " << result.missing << ", sent " << result.sent << ", first "
                  << result.firstComplete.count() << " of " << firstLimit(options, result).count() << " ms, all "
                  << result.allComplete.count() << " ms, second " << result.firstSecond.count() << ", "
                  << result.allSecond.count() << " ms, attempts " << result.maxAttempts << "\n";
        const bool two = options.secondVersionAt.has_value();
        const Millis first = two ? result.firstSecond : result.firstComplete;
        const Millis all = two ? result.allSecond : result.allComplete;
        EXPECT_GT(result.missing, 0);
        EXPECT_LE(result.sent * 10, result.missing * 11);
        EXPECT_LE(first, firstLimit(options, result));
        EXPECT_GT(all, Millis{0});
        EXPECT_LE(all, first + Millis{1000});
        EXPECT_LT(result.maxAttempts, 20);
    }

    testing::OriginSimulationOptions options() const
    {
        return {.vms = GetParam()};
    }
};

INSTANTIATE_TEST_SUITE_P(Vms, OriginOutageTest, ::testing::Values(58, 300));

TEST_P(OriginOutageTest, InTheMiddleOfAVersion)
{
    expectWithinLimits(options());
}

TEST_P(OriginOutageTest, ConnectionsHang)
{
    auto hanging = options();
    hanging.fault = testing::OriginFault::Hanging;
    expectWithinLimits(hanging);
}

TEST_P(OriginOutageTest, ASecondVersionIsAnnouncedMeanwhile)
{
    auto two = options();
    two.secondVersionAt = Millis{4000};
    expectWithinLimits(two);
}

TEST_P(OriginOutageTest, OwnersDieMeanwhile)
{
    auto dead = options();
    dead.dead = {0, 1, 20, 22, 42};
    expectWithinLimits(dead);
}

TEST_P(OriginOutageTest, OwnersAreReplacedMeanwhile)
{
    auto replaced = options();
    replaced.dead = {0, 1, 20, 22, 42};
    replaced.replacedAt = Millis{5000};
    expectWithinLimits(replaced);
}

// An owner that other VMs reach, but that doesn't reach the origin, must not keep its pieces from all others.
TEST_P(OriginOutageTest, OwnersDoNotReachTheOrigin)
{
    auto cutOff = options();
    cutOff.cutOff = {4, 10};
    const auto result = simulateOrigin(cutOff);
    EXPECT_LE(result.sent * 10, result.missing * 11);
    EXPECT_GT(result.allComplete, Millis{0});
    EXPECT_LE(result.allComplete, firstLimit(cutOff, result) + Millis{5000});
}

TEST_P(OriginOutageTest, ADomainThatIsIsolatedFetchesOneCopyOfItsOwn)
{
    auto isolated = options();
    isolated.isolatedDomain = 1;
    const auto result = simulateOrigin(isolated);
    EXPECT_GT(result.allComplete, Millis{0});
    EXPECT_LE(result.sent * 10, (result.missing + isolated.pieces) * 11);
    EXPECT_LT(result.maxAttempts, 20);
}

} // namespace

} // namespace ibislock::weights
