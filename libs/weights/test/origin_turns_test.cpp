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

// VMs that restart with different parts of a version staged took each other's pieces for missing: each left the turns
// at the origin to VMs that had these pieces, and waited for owners that had nothing to deliver.
class OriginRestartTest : public ::testing::TestWithParam<int>
{
protected:
    void expectWithinLimits(testing::OriginSimulationOptions options)
    {
        options.vms = GetParam();
        options.outageAt = testing::FirstStep; // No outage.
        options.outageEnd = testing::FirstStep;
        const auto result = simulateOrigin(options);
        // The first VM needs what no VM holds from the origin, and what it lacks over its own link.
        const Millis limit =
            std::max(options.pieceTime * result.missing, testing::LinkTime * result.missingOfOne) + Millis{1000};
        std::cout << options.vms << " VMs: missing " << result.missing << " and " << result.missingOfOne << ", sent "
                  << result.sent << ", first " << result.firstComplete.count() << ", all " << result.allComplete.count()
                  << " of " << limit.count() << " ms\n";
        EXPECT_GT(result.allComplete, Millis{0});
        EXPECT_LE(result.allComplete, limit + options.startSpread);
        EXPECT_LE(result.sent, result.missing + options.pieces / 8);
    }
};

INSTANTIATE_TEST_SUITE_P(Vms, OriginRestartTest, ::testing::Values(9, 58, 300));

TEST_P(OriginRestartTest, MostPiecesAreStagedAtMostVms)
{
    expectWithinLimits({.pieces = 96, .availablePercent = 80, .stagedPercent = 90, .startSpread = Millis{300}});
}

TEST_P(OriginRestartTest, AThirdOfThePiecesIsStagedInPart)
{
    expectWithinLimits({.pieces = 96, .availablePercent = 35, .stagedPercent = 50, .startSpread = Millis{300}});
}

TEST_P(OriginRestartTest, EachPieceIsStagedAtFewVms)
{
    expectWithinLimits({.pieces = 96, .availablePercent = 100, .stagedPercent = 15, .startSpread = Millis{300}});
}

// Rules that give the right to one VM at a time must not leave a piece without any VM that may request it.
TEST(OriginTurnsTest, NoVmIsStuckWhateverFails)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Random random(seed);
        const auto some = [&](int vms, int most) {
            std::set<int> out;
            for (auto n = random() % static_cast<unsigned>(most + 1); n > 0; --n) {
                out.insert(static_cast<int>(random() % static_cast<unsigned>(vms)));
            }
            return out;
        };
        const int vms = 2 + static_cast<int>(random() % 20);
        testing::OriginSimulationOptions options{.vms = vms,
                                                 .domains = 1 + static_cast<int>(random() % std::min(vms, 4)),
                                                 .pieces = 1 + static_cast<int>(random() % 24),
                                                 .seed = seed};
        options.outageAt = Millis{static_cast<int>(random() % 1500)};
        options.outageEnd = options.outageAt + Millis{static_cast<int>(random() % 5000)};
        options.fault = random() % 2 == 0 ? testing::OriginFault::Refused : testing::OriginFault::Hanging;
        options.dead = some(vms, vms / 3);
        options.cutOff = some(vms, vms / 3);
        options.dead.erase(vms - 1); // One VM must be able to fetch the version.
        options.cutOff.erase(vms - 1);
        options.late = some(vms, vms / 2);
        options.corruptEach = static_cast<int>(random() % 3 == 0 ? 5 : 0);
        if (random() % 2 == 0) {
            options.secondVersionAt = Millis{2000};
        }
        const auto result = simulateOrigin(options);
        EXPECT_NE(result.allComplete, Millis{0}) << "seed " << seed;
        EXPECT_LT(result.maxAttempts, 30) << "seed " << seed;
        if (options.secondVersionAt) {
            EXPECT_NE(result.allSecond, Millis{0}) << "seed " << seed;
        }
    }
}

} // namespace

} // namespace ibislock::weights
