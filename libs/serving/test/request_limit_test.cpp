#include "ibislock/serving/request_limit.h"

#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <tuple>
#include <vector>

namespace ibislock::serving
{

namespace
{

/// How often an entry VM has a request for the target.
constexpr Millis Step{20};

/// The time in which requests are counted.
constexpr Millis Window{4000};

/// When callers send requests to all entry VMs.
enum class Callers {
    Always,
    AfterPauses, ///< For a second, after pauses in which no VM uses its turn.
    AtSomeVms, ///< Only at every third VM.
};

/// A replay of entry VMs that share a limit.
struct Replay
{
    int entryVms = 1;
    int knownEntryVms = 0; ///< The number that the entry VMs are told; 0 for the right one.
    double perSecond = 1;
    Millis learnEvery{0}; ///< Time between the moments at which two VMs learn of the limit.
    Callers callers = Callers::Always;
    Millis length{60000};
    std::uint64_t seed = 1;
};

/// What was sent in a replay.
struct Sends
{
    std::size_t most = 0; ///< In any 4 s.
    std::size_t all = 0;
};

bool hasRequest(const Replay &replay, std::size_t vm, Millis now)
{
    switch (replay.callers) {
    case Callers::Always:
        return true;
    case Callers::AfterPauses:
        return now % Millis{20000} > Millis{19000};
    case Callers::AtSomeVms:
        return vm % 3 == 0;
    }
    return true;
}

Sends run(const Replay &replay)
{
    Random random(replay.seed);
    const auto count = static_cast<std::size_t>(replay.entryVms);
    std::vector<std::optional<RequestLimit>> vms(count);
    const LimitTerms terms{.perSecond = replay.perSecond,
                           .entryVms = replay.knownEntryVms > 0 ? replay.knownEntryVms : replay.entryVms};
    std::deque<Millis> recent;
    Sends out;
    for (Millis now{0}; now < replay.length; now += Step) {
        for (std::size_t n = 0; n < count; ++n) {
            if (!vms[n] && now >= replay.learnEvery * static_cast<std::int64_t>(n)) {
                vms[n] = startLimit(terms, random, now);
            }
            if (vms[n] && hasRequest(replay, n, now) && hasTurn(*vms[n], now)) {
                takeTurn(*vms[n], now);
                recent.push_back(now);
                ++out.all;
            }
        }
        while (!recent.empty() && recent.front() <= now - Window) {
            recent.pop_front();
        }
        out.most = std::max(out.most, recent.size());
    }
    return out;
}

double allowed(double perSecond)
{
    return 1.5 * 4 * perSecond + 5;
}

class RequestLimitReplayTest : public testing::TestWithParam<std::tuple<int, double, int, Callers>>
{
protected:
    Replay replay(std::uint64_t seed) const
    {
        const auto &[entryVms, perSecond, learnMs, callers] = GetParam();
        return {.entryVms = entryVms,
                .perSecond = perSecond,
                .learnEvery = Millis{learnMs},
                .callers = callers,
                .seed = seed};
    }
};

TEST_P(RequestLimitReplayTest, EntryVmsTogetherKeepTheLimit)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const Replay days = replay(seed);
        EXPECT_LE(static_cast<double>(run(days).most), allowed(days.perSecond)) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Cases, RequestLimitReplayTest,
                         testing::Combine(testing::Values(1, 8, 38, 149), testing::Values(0.0, 1.0, 1.8, 10.0, 50.0),
                                          testing::Values(0, 40),
                                          testing::Values(Callers::Always, Callers::AfterPauses, Callers::AtSomeVms)));

// A limit isn't a reason to leave a target idle: callers that press without end get a good part of it.
TEST(RequestLimitTest, CallersWithoutEndGetAGoodPartOfTheLimit)
{
    for (const int entryVms : {1, 8, 38, 149}) {
        for (const double perSecond : {1.0, 1.8, 10.0, 50.0}) {
            constexpr Millis Length{600000};
            const Sends sends = run({.entryVms = entryVms, .perSecond = perSecond, .length = Length});
            EXPECT_GT(static_cast<double>(sends.all), 0.4 * perSecond * static_cast<double>(Length.count()) / 1000)
                << entryVms << " VMs, " << perSecond << " a second";
        }
    }
}

// A VM that has just started may know too few of the others for a moment.
TEST(RequestLimitTest, EntryVmsThatKnowOfAQuarterTooFewKeepTheLimit)
{
    for (const int entryVms : {8, 38, 149}) {
        for (const double perSecond : {1.0, 1.8, 10.0}) {
            const Sends sends = run({.entryVms = entryVms, .knownEntryVms = entryVms * 3 / 4, .perSecond = perSecond});
            EXPECT_LE(static_cast<double>(sends.most), allowed(perSecond)) << entryVms << ", " << perSecond;
        }
    }
}

TEST(RequestLimitTest, AVmHasNoTurnWhenItLearnsOfALimit)
{
    Random random(1);
    for (int n = 0; n < 1000; ++n) {
        const RequestLimit limit = startLimit({.perSecond = 1, .entryVms = 8}, random, Millis{100});
        EXPECT_FALSE(hasTurn(limit, Millis{100}));
        EXPECT_LE(nextTurn(limit, Millis{100}), Millis{100} + limit.interval);
    }
}

TEST(RequestLimitTest, ALowerLimitAndMoreEntryVmsDelayTheNextTurn)
{
    Random random(1);
    RequestLimit limit = startLimit({.perSecond = 10, .entryVms = 4}, random, Millis{0});
    takeTurn(limit, Millis{5000});
    const Millis before = nextTurn(limit, Millis{5000});
    changeLimit(limit, {.perSecond = 1, .entryVms = 4}, random, Millis{5000});
    EXPECT_GE(nextTurn(limit, Millis{5000}) - Millis{5000}, (before - Millis{5000}) * 9);
    const Millis lower = nextTurn(limit, Millis{5000});
    changeLimit(limit, {.perSecond = 1, .entryVms = 40}, random, Millis{5000});
    EXPECT_GE(nextTurn(limit, Millis{5000}) - Millis{5000}, (lower - Millis{5000}) * 9);
}

// All entry VMs learn at the same moment that there are many more of them than they knew.
TEST(RequestLimitTest, AnOpenTurnIsGivenUpWhenThereAreMoreEntryVms)
{
    Random random(1);
    int open = 0;
    for (int n = 0; n < 149; ++n) {
        RequestLimit limit = startLimit({.perSecond = 1, .entryVms = 4}, random, Millis{0});
        changeLimit(limit, {.perSecond = 1, .entryVms = 149}, random, Millis{20000});
        open += hasTurn(limit, Millis{20000}) ? 1 : 0;
    }
    EXPECT_EQ(open, 0);
}

// A target that names another limit in each response gets no more requests by that.
TEST(RequestLimitTest, ALimitThatAlwaysChangesIsKept)
{
    Random random(1);
    RequestLimit limit = startLimit({.perSecond = 2, .entryVms = 1}, random, Millis{0});
    int sends = 0;
    for (Millis now{0}; now < Millis{100000}; now += Step) {
        if (hasTurn(limit, now)) {
            takeTurn(limit, now);
            ++sends;
            changeLimit(limit, {.perSecond = sends % 2 == 0 ? 1.9 : 2.0, .entryVms = 1}, random, now);
        }
    }
    EXPECT_LE(sends, 200);
}

} // namespace

} // namespace ibislock::serving
