// Replays of a failure domain that returns cold behind a cut, in virtual time: many entry VMs decide alone, and their
// requests are counted when they arrive.

#include "ibislock/serving/cold_start.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

namespace ibislock::serving
{

namespace
{

constexpr ColdStartTerms Terms{.duration = Millis{10000}, .perSecond = 17, .overshoot = 1.5, .slack = 5};
constexpr Millis Step{50};
constexpr Millis CutFrom{2000};
constexpr Millis CutUntil{6500};
constexpr Millis Length{15000};
constexpr Millis Window{1000}; ///< In which requests are counted.
constexpr Millis ReportInterval{300};
constexpr Millis ConnectTime{400}; ///< A connection that isn't established by then is given up.
constexpr int Targets = 20;
constexpr double LoadPerTarget = 10.8; ///< Requests a second, of all entry VMs.
constexpr std::int64_t FirstStart = 1000;
constexpr std::int64_t SecondStart = 2000;

/// A replay of a domain that is cut off.
struct Replay
{
    int entryVms = 40;
    bool restarts = true; ///< The targets restart behind the cut; else they become cold without a restart.
    std::uint64_t seed = 1;
};

/// One entry VM.
struct Vm
{
    bool inDomain = false; ///< Of the domain that is cut off.
    Millis startsAt{0};
    Millis lateBy{0}; ///< Reports and listings arrive that much later.
    int knownVms = 0; ///< What the reports to it say.
    std::vector<ColdTarget> targets;
};

struct Target
{
    Millis restartAt{0};
    Millis listedColdAt{0}; ///< When entry VMs are told that it is cold.
    std::multimap<Millis, int> arriving;
    std::deque<Millis> recent;
};

class ColdDomain
{
public:
    explicit ColdDomain(const Replay &replay)
        : m_replay(replay)
        , m_random(replay.seed)
    {
        for (int n = 0; n < replay.entryVms; ++n) {
            const bool late = n % 5 == 1;
            const bool young = n % 8 == 2;
            m_vms.push_back({.inDomain = n % 3 == 0,
                             .startsAt = young ? sample(CutFrom, Millis{9000}) : Millis{0},
                             .lateBy = late ? sample(Millis{0}, Millis{2000}) : Millis{0},
                             .knownVms = n % 4 == 3 ? replay.entryVms / 2 : replay.entryVms,
                             .targets = {}});
        }
        for (int n = 0; n < Targets; ++n) {
            const Millis restartAt = sample(CutFrom + Millis{500}, CutUntil - Millis{200});
            m_targets.push_back({.restartAt = restartAt,
                                 .listedColdAt = CutUntil + sample(Millis{100}, Millis{2000}),
                                 .arriving = {},
                                 .recent = {}});
        }
    }

    /// Returns the most requests that a cold target got in any second.
    std::size_t most()
    {
        for (Millis now{0}; now < Length; now += Step) {
            for (Vm &vm : m_vms) {
                stepVm(vm, now);
            }
            for (Target &target : m_targets) {
                count(target, now);
            }
        }
        return m_most;
    }

private:
    Millis sample(Millis from, Millis to)
    {
        return Millis{std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(m_random)};
    }

    bool reaches(const Vm &vm, Millis at) const
    {
        return vm.inDomain || at < CutFrom || at >= CutUntil;
    }

    std::int64_t startOf(const Target &target, Millis at) const
    {
        return m_replay.restarts && at >= target.restartAt ? SecondStart : FirstStart;
    }

    void stepVm(Vm &vm, Millis now)
    {
        if (now < vm.startsAt) {
            return;
        }
        if (vm.targets.empty()) {
            vm.targets.resize(Targets, ColdTarget{.terms = Terms, .entryVms = AssumedSharers});
            for (ColdTarget &cold : vm.targets) {
                recordListing(cold, {.startedAt = FirstStart}, now); // As it was written before the cut.
            }
        }
        for (int n = 0; n < Targets; ++n) {
            learn(vm, n, now);
            send(vm, n, now);
        }
    }

    void learn(Vm &vm, int n, Millis now)
    {
        Target &target = m_targets[static_cast<std::size_t>(n)];
        ColdTarget &cold = vm.targets[static_cast<std::size_t>(n)];
        const Millis at = now - vm.lateBy; // When what arrives now was sent.
        const bool due = (at.count() + n * Step.count()) % ReportInterval.count() < Step.count();
        if (due && reaches(vm, at)) {
            recordSharers(cold, vm.knownVms, now);
            const bool restarted = startOf(target, at) == SecondStart;
            recordEngineReport(
                cold,
                {.startedAt = startOf(target, at), .runningFor = restarted ? at - target.restartAt : Millis{60000}},
                now);
        }
        if (at >= target.listedColdAt && at < target.listedColdAt + Step) {
            recordListing(cold, {.startedAt = startOf(target, at), .coldLeft = Terms.duration}, now);
        }
    }

    void send(Vm &vm, int n, Millis now)
    {
        Target &target = m_targets[static_cast<std::size_t>(n)];
        ColdTarget &cold = vm.targets[static_cast<std::size_t>(n)];
        if (!mayReceive(cold, m_random, now)) {
            return;
        }
        const bool warm = phaseOf(cold, now) == ColdPhase::Warm;
        const double share = LoadPerTarget / m_replay.entryVms * static_cast<double>(Step.count()) / 1000;
        // Warm targets get their share of the load; callers wait for each turn at the others.
        if (warm && std::uniform_real_distribution<double>(0, 1)(m_random) >= share) {
            return;
        }
        takeColdTurn(cold, now);
        if (reaches(vm, now)) {
            const bool refused = m_replay.restarts && now < target.restartAt && now >= target.restartAt - Millis{300};
            if (refused) {
                recordConnectionLoss(cold, true, now);
                return;
            }
            target.arriving.emplace(now + sample(Millis{0}, Millis{60}), 0);
            return;
        }
        // Bytes on a pooled connection are repeated by TCP until they arrive, unless the connection is of an
        // incarnation that is gone. A new connection is given up.
        const bool kept = warm ? !m_replay.restarts : now >= CutUntil - ConnectTime;
        if (kept) {
            target.arriving.emplace(CutUntil + sample(Millis{0}, Millis{100}), 0);
        }
    }

    void count(Target &target, Millis now)
    {
        const Millis coldFrom = m_replay.restarts ? target.restartAt : CutUntil;
        while (!target.arriving.empty() && target.arriving.begin()->first <= now) {
            const Millis at = target.arriving.begin()->first;
            target.arriving.erase(target.arriving.begin());
            if (at >= coldFrom) {
                target.recent.push_back(at);
            }
        }
        while (!target.recent.empty() && target.recent.front() <= now - Window) {
            target.recent.pop_front();
        }
        m_most = std::max(m_most, target.recent.size());
    }

    Replay m_replay;
    Random m_random;
    std::vector<Vm> m_vms;
    std::vector<Target> m_targets;
    std::size_t m_most = 0;
};

class ColdDomainReplayTest : public testing::TestWithParam<std::tuple<int, bool>>
{
};

// Targets of a domain that returned behind a cut got 38 requests in a second while they were cold, and crashed.
TEST_P(ColdDomainReplayTest, NoSecondBringsMoreThanIsAllowed)
{
    const auto &[entryVms, restarts] = GetParam();
    std::size_t most = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        most = std::max(most, ColdDomain({.entryVms = entryVms, .restarts = restarts, .seed = seed}).most());
    }
    EXPECT_LE(static_cast<double>(most), allowedInSecond(Terms));
    RecordProperty("most", static_cast<int>(most));
}

INSTANTIATE_TEST_SUITE_P(Cases, ColdDomainReplayTest, testing::Combine(testing::Values(40, 54), testing::Bool()));

/// Returns the requests a second that a cold target gets from entry VMs whose callers are always there, and the most in
/// any second.
std::pair<double, std::size_t> busySends(const ColdStartTerms &terms, int entryVms, std::uint64_t seed)
{
    constexpr Millis BusyLength{60000};
    constexpr Millis BusyStep{20};
    Random random(seed);
    ColdTarget first{.terms = terms, .entryVms = entryVms};
    first.terms.duration = 2 * BusyLength;
    recordPossiblyCold(first, Millis{0});
    std::vector<ColdTarget> vms(static_cast<std::size_t>(entryVms), first);
    std::deque<Millis> recent;
    std::size_t all = 0;
    std::size_t most = 0;
    for (Millis now{0}; now < BusyLength; now += BusyStep) {
        for (ColdTarget &vm : vms) {
            if (mayReceive(vm, random, now)) {
                takeColdTurn(vm, now);
                recent.push_back(now);
                ++all;
            }
        }
        while (!recent.empty() && recent.front() <= now - Window) {
            recent.pop_front();
        }
        most = std::max(most, recent.size());
    }
    return {static_cast<double>(all) * 1000 / static_cast<double>(BusyLength.count()), most};
}

// A limit isn't a reason to leave cold targets idle: they serve nearly the usual load.
TEST(ColdTurnsTest, BusyCallersGetHalfOfWhatAColdTargetTakes)
{
    for (const int entryVms : {1, 8, 25, 40, 54, 89}) {
        const auto [perSecond, most] = busySends(Terms, entryVms, 1);
        EXPECT_GE(perSecond, Terms.perSecond / 2) << entryVms;
        EXPECT_LE(static_cast<double>(most), allowedInSecond(Terms)) << entryVms;
    }
}

// Without overshoot and slack, turns at random phases must use less of the rate.
TEST(ColdTurnsTest, TermsWithoutAMarginAreKept)
{
    for (const int entryVms : {1, 8, 40, 89}) {
        for (const double perSecond : {4.0, 17.0, 100.0}) {
            const std::size_t most = busySends({.duration = Millis{1000}, .perSecond = perSecond}, entryVms, 1).second;
            EXPECT_LE(static_cast<double>(most), perSecond) << entryVms << ", " << perSecond << " a second";
        }
    }
}

} // namespace

} // namespace ibislock::serving
