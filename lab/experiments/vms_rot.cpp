#include "experiments/vms_rot.h"

#include "ibislock/base/names.h"
#include "ibislock/base/random.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <numeric>

namespace ibislock::lab
{

namespace
{

/// How many pieces turn bad at once.
constexpr std::size_t BadAtOnce = 5;

/// From the beginning of a fault until pieces turn bad.
constexpr Millis EarliestRot{200};
constexpr Millis LatestRot{900};

/// From the last read of a verification until the daemon is stopped; the order follows soon.
constexpr Millis LatestStop{100};

/// For how long a daemon is stopped.
constexpr Millis ShortestStop{4000};
constexpr Millis LongestStop{5000};

/// For how long an engine gives no answers.
constexpr Millis FreezeLength{4000};

/// How long a round may take.
constexpr Millis RoundTime{12000};

/// Requests go on for this long after a round.
constexpr Millis RoundEnd{1000};

/// What pieces that turn bad meet.
enum class RotFault {
    None, ///< Nothing else happens.
    DaemonStops,
    ReadsAreSlow,
    EngineFreezes,
};

constexpr NameTable<RotFault, 4> RotFaultNames{{
    {RotFault::None, "none"},
    {RotFault::DaemonStops, "daemon stops"},
    {RotFault::ReadsAreSlow, "reads are slow"},
    {RotFault::EngineFreezes, "engine freezes"},
}};

/// A fault that the first engine gets that comes to its moment.
struct PlannedFault
{
    RotFault kind = RotFault::None;
    Millis readDelay{0};
    Millis length{0}; ///< Of slow reads; 0 for the rest of the round.
};

/// What happens while one version is brought to all engines.
struct Round
{
    std::vector<PlannedFault> faults;
    bool restartsEngine = false;
};

const std::vector<Round> Rounds{
    {.faults = {{.kind = RotFault::None}, {.kind = RotFault::DaemonStops}, {.kind = RotFault::DaemonStops}}},
    {.faults = {{.kind = RotFault::ReadsAreSlow, .readDelay = Millis{70}},
                {.kind = RotFault::DaemonStops},
                {.kind = RotFault::EngineFreezes}}},
    {.faults = {{.kind = RotFault::ReadsAreSlow, .readDelay = Millis{500}, .length = Millis{6000}},
                {.kind = RotFault::EngineFreezes},
                {.kind = RotFault::DaemonStops}}},
    {.faults = {{.kind = RotFault::DaemonStops}, {.kind = RotFault::EngineFreezes}}, .restartsEngine = true},
};

/// The moment at which a fault begins.
StageEvent momentOf(RotFault fault)
{
    switch (fault) {
    case RotFault::ReadsAreSlow:
        return StageEvent::VerificationBegins;
    case RotFault::EngineFreezes:
        return StageEvent::OrderArrives;
    default:
        return StageEvent::VerificationEnds;
    }
}

class RotRun
{
public:
    RotRun(asio::io_context &loop, VmsDeployment &deployment, std::uint64_t seed)
        : m_loop(loop)
        , m_deployment(deployment)
        , m_random(seed)
    {
        for (VmProcess &vm : deployment.vms()) {
            if (vm.engine) {
                m_targets.push_back(&vm);
                vm.engine->onStage = [this, &vm](StageEvent event) {
                    onStage(vm, event);
                };
            }
        }
    }

    bool run()
    {
        std::int64_t version = 1;
        for (const Round &round : Rounds) {
            play(round, ++version);
        }
        const bool everywhere = m_deployment.runUntil([&] { return m_deployment.enginesWith(version) == RotTargets; });
        return report(version, everywhere);
    }

private:
    void play(const Round &round, std::int64_t version)
    {
        m_planned = round.faults;
        std::shuffle(m_planned.begin(), m_planned.end(), m_random);
        m_hit.clear();
        for (const VmProcess *vm : m_targets) {
            m_before[vm] = vm->engine->loadCounts();
        }
        if (round.restartsEngine) {
            m_targets[m_random() % m_targets.size()]->engine->restart();
        }
        m_deployment.announce(version);
        const Millis begin = steadyMillis();
        sendUntil(begin + RoundTime, [&] { return m_running == 0 && m_deployment.enginesWith(version) == RotTargets; });
        const Millis took = steadyMillis() - begin;
        sendUntil(steadyMillis() + RoundEnd, [] { return false; });
        std::cout << "version " << version << ": " << m_deployment.enginesWith(version) << " of " << RotTargets
                  << " engines after " << took.count() << " ms, faults " << m_hit.size() << " of "
                  << round.faults.size() << "\n";
        for (const VmProcess *vm : m_targets) {
            printEngine(*vm);
        }
        std::cout << std::flush;
        m_missedFaults += m_planned.size();
        for (VmProcess *vm : m_targets) {
            vm->engine->readDelay = Millis{0};
        }
    }

    /// Prints what an engine did wrong in this round.
    void printEngine(const VmProcess &vm) const
    {
        const LoadCounts &before = m_before.at(&vm);
        const LoadCounts &counts = vm.engine->loadCounts();
        const int loads = counts.violating - before.violating;
        const int served = counts.servedViolating - before.servedViolating;
        if (loads + served > 0) {
            const auto fault = m_hit.find(&vm);
            std::cout << "  " << vm.ip
                      << ", fault: " << nameOf(RotFaultNames, fault == m_hit.end() ? RotFault::None : fault->second)
                      << ", violating loads " << loads << ", violations " << served << "\n";
        }
    }

    template <typename Holds>
    void sendUntil(Millis end, Holds holds)
    {
        while (steadyMillis() < end && !holds()) {
            m_deployment.request();
            m_loop.run_for(VmsDeployment::RequestPause);
        }
    }

    void onStage(VmProcess &vm, StageEvent event)
    {
        const auto it = std::find_if(m_planned.begin(), m_planned.end(),
                                     [&](const PlannedFault &fault) { return momentOf(fault.kind) == event; });
        if (it == m_planned.end() || !m_hit.emplace(&vm, it->kind).second) {
            return;
        }
        const PlannedFault fault = *it;
        m_planned.erase(it);
        begin(vm, fault);
    }

    void begin(VmProcess &vm, const PlannedFault &fault)
    {
        switch (fault.kind) {
        case RotFault::None:
            vm.engine->turnBad(somePieces());
            break;
        case RotFault::DaemonStops:
            ++m_running;
            after(between(Millis{0}, LatestStop), [this, &vm] {
                vm.process->signal(SIGSTOP);
                turnBadLater(vm, somePieces());
                after(between(ShortestStop, LongestStop), [this, &vm] {
                    vm.process->signal(SIGCONT);
                    --m_running;
                });
            });
            break;
        case RotFault::ReadsAreSlow:
            vm.engine->readDelay = fault.readDelay;
            // Later pieces would be found by the check.
            turnBadLater(vm, sampled(vm.engine->verifiedPieces()));
            if (fault.length > Millis{0}) {
                ++m_running;
                after(fault.length, [this, &vm] {
                    vm.engine->readDelay = Millis{0};
                    --m_running;
                });
            }
            break;
        case RotFault::EngineFreezes:
            ++m_running;
            vm.engine->freeze(FreezeLength);
            turnBadLater(vm, somePieces());
            after(FreezeLength, [this] { --m_running; });
            break;
        }
    }

    void turnBadLater(VmProcess &vm, std::vector<int> pieces)
    {
        after(between(EarliestRot, LatestRot), [&vm, pieces = std::move(pieces)] { vm.engine->turnBad(pieces); });
    }

    template <typename Action>
    void after(Millis delay, Action action)
    {
        auto timer = std::make_shared<asio::steady_timer>(m_loop, delay);
        timer->async_wait([timer, action = std::move(action)](const asio::error_code &ec) {
            if (!ec) {
                action();
            }
        });
    }

    Millis between(Millis low, Millis high)
    {
        return Millis{std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(m_random)};
    }

    std::vector<int> sampled(const std::vector<int> &pieces)
    {
        std::vector<int> some;
        std::sample(pieces.begin(), pieces.end(), std::back_inserter(some), BadAtOnce, m_random);
        return some;
    }

    std::vector<int> somePieces()
    {
        std::vector<int> all(RotPieces);
        std::iota(all.begin(), all.end(), 0);
        return sampled(all);
    }

    LoadCounts counts() const
    {
        LoadCounts sum;
        for (const VmProcess *vm : m_targets) {
            const LoadCounts &counts = vm->engine->loadCounts();
            sum.loads += counts.loads;
            sum.badInTime += counts.badInTime;
            sum.violating += counts.violating;
            sum.servedViolating += counts.servedViolating;
        }
        return sum;
    }

    bool report(std::int64_t version, bool everywhere) const
    {
        const LoadCounts sum = counts();
        const Tally &tally = m_deployment.tally();
        const bool good = everywhere && sum.servedViolating == 0 && m_missedFaults == 0 && tally.wrong == 0;
        std::cout << "version " << version << ": " << m_deployment.enginesWith(version) << " of " << RotTargets
                  << " engines in the end, faults missed " << m_missedFaults << "\nrequests: sent " << tally.sent
                  << ", answered " << tally.answered << ", refused " << tally.refused << ", unknown " << tally.unknown
                  << ", wrong " << tally.wrong << "\nrot: loads " << sum.loads << ", bad pieces in time "
                  << sum.badInTime << ", violating loads " << sum.violating << ", violations " << sum.servedViolating
                  << "\nvms: " << (good ? "ok" : "failed") << "\n";
        return good;
    }

    asio::io_context &m_loop;
    VmsDeployment &m_deployment;
    Random m_random;
    std::vector<VmProcess *> m_targets;
    std::vector<PlannedFault> m_planned; ///< Of this round.
    std::map<const VmProcess *, RotFault> m_hit; ///< Got a fault in this round.
    std::map<const VmProcess *, LoadCounts> m_before; ///< The counts when this round began.
    std::size_t m_missedFaults = 0;
    int m_running = 0; ///< Faults under way.
};

} // namespace

bool runRot(asio::io_context &loop, VmsDeployment &deployment, std::uint64_t seed)
{
    return RotRun(loop, deployment, seed).run();
}

} // namespace ibislock::lab
