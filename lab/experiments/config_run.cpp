#include "experiments/config_run.h"

#include "child_process.h"
#include "deployment.h"
#include "experiments/config_filers.h"
#include "experiments/config_pause.h"
#include "experiments/config_usage.h"
#include "experiments/config_watch.h"

#include <algorithm>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr Millis SampleInterval{4};
constexpr Millis FaultPause{300}; ///< Between two faults.
constexpr Millis SettleTimeout{15000};
constexpr Millis RunTimeout{90000};
constexpr std::size_t TrimRetention = 48; ///< Records; a run appends several times as many.
constexpr double InForceP99LimitMs = 2000;
constexpr double InForceMaxLimitMs = 11000;
constexpr double AfterFaultLimitMs = 3000;
constexpr unsigned EngineThreads = 1;
constexpr Millis RestPause{2500}; ///< Until activations have ended.

DeploymentOptions deploymentOptions(const ConfigOptions &options)
{
    DeploymentOptions deployment{.domains = options.domains,
                                 .entriesPerDomain = std::max(1U, options.entries / options.domains),
                                 .targetsPerDomain = options.targets / options.domains,
                                 .seed = options.seed};
    deployment.engine.threads = EngineThreads;
    // Plain services load no weights, so that only the configuration is measured.
    deployment.target.backend = target::BackendKind::Service;
    deployment.entry.callers.threads = 1;
    deployment.entry.administration.threads = options.racers + 1;
    return deployment;
}

/// The deployment, its watch, and the faults that happen to them.
class ConfigRun
{
public:
    explicit ConfigRun(const ConfigOptions &options)
        : m_options(options)
        , m_deployment(deploymentOptions(options))
    {
    }

    json run()
    {
        applyLastingFaults();
        m_deployment.start();
        for (const std::string &vm : everyVm()) {
            noteUp(m_watch, vm, steadyMillis());
        }
        startPausable();
        std::thread sampler([this] { sample(); });
        const Usage begin = usageNow(m_deployment);
        Filers filers({.entries = administrationUrls(),
                       .vms = targetNames(),
                       .tickets = m_options.tickets,
                       .racers = m_options.racers,
                       .seed = m_options.seed});
        filers.start();
        std::thread injector([this, &filers] { injectFaults(filers); });
        const Millis deadline = steadyMillis() + RunTimeout;
        while (!filers.isDone() && steadyMillis() < deadline) {
            std::this_thread::sleep_for(SampleInterval);
        }
        injector.join();
        m_undecided = !filers.isDone();
        const FilerResult filed = filers.finish();
        settle(filed);
        const Usage end = usageNow(m_deployment);
        const DaemonUsage rest = usageAtRest();
        const std::uint64_t burstBytes = m_restBegin.gossipBytes - std::min(m_restBegin.gossipBytes, begin.gossipBytes);
        m_stopping = true;
        sampler.join();
        json result = report(filed, usageBetween(begin, end, daemons()));
        addRest(result, rest);
        result["ticket_bytes"] = static_cast<double>(burstBytes) / daemons() / static_cast<double>(m_options.tickets);
        m_pausable.reset();
        m_deployment.stop();
        return result;
    }

private:
    unsigned daemons() const
    {
        return m_options.entries + m_options.targets;
    }

    /// Measures what the daemons cost while no ticket is filed.
    DaemonUsage usageAtRest()
    {
        if (m_options.idleSeconds <= 0) {
            return {};
        }
        std::this_thread::sleep_for(RestPause);
        m_restBegin = usageNow(m_deployment);
        std::this_thread::sleep_for(std::chrono::duration<double>(m_options.idleSeconds));
        return usageBetween(m_restBegin, usageNow(m_deployment), daemons());
    }

    void addRest(json &result, const DaemonUsage &rest) const
    {
        if (m_options.idleSeconds <= 0) {
            return;
        }
        result["rest_cpu_percent"] = rest.cpuPercent;
        result["rest_bytes_per_s"] = rest.bytesPerSecond;
        result["rest_entry_bytes_per_s"] = rest.entryBytesPerSecond;
        result["rest_log_reads_per_s"] = rest.logReadsPerSecond;
    }

    std::vector<std::string> administrationUrls() const
    {
        auto urls = m_deployment.administrationUrls();
        if (m_pausable) {
            urls.push_back(m_pausable->administrationUrl());
        }
        return urls;
    }

    std::vector<std::string> targetNames()
    {
        std::vector<std::string> names;
        for (const TargetVm &vm : m_deployment.targets()) {
            names.push_back(vm.name);
        }
        return names;
    }

    std::vector<std::string> everyVm()
    {
        std::vector<std::string> names = targetNames();
        for (const EntryVm &vm : m_deployment.entries()) {
            names.push_back(vm.name);
        }
        return names;
    }

    void applyLastingFaults()
    {
        if (const auto delay = amountOf(m_options.faults, ConfigFault::LogSlow)) {
            m_deployment.setLogDelay(Millis(static_cast<std::int64_t>(*delay)));
        }
        if (const auto probability = amountOf(m_options.faults, ConfigFault::LostAnswers)) {
            m_deployment.setLostLogAnswers(*probability);
        }
        if (const auto probability = amountOf(m_options.faults, ConfigFault::DuplicateRecords)) {
            m_deployment.log().setDuplicates(*probability);
        }
        if (amountOf(m_options.faults, ConfigFault::Trim)) {
            m_deployment.log().setRetention(TrimRetention);
        }
    }

    void startPausable()
    {
        if (!amountOf(m_options.faults, ConfigFault::Pause)) {
            return;
        }
        m_pausable = std::make_unique<PausableEntry>(m_options.binary, m_deployment);
        noteUp(m_watch, m_pausable->vm(), steadyMillis());
    }

    /// Looks at every daemon until the run ends.
    void sample()
    {
        while (!m_stopping) {
            {
                const std::lock_guard lock(m_mutex);
                for (const EntryVm &vm : m_deployment.entries()) {
                    sampleDaemon(vm);
                }
                for (const TargetVm &vm : m_deployment.targets()) {
                    sampleDaemon(vm);
                }
            }
            samplePausable();
            std::this_thread::sleep_for(SampleInterval);
        }
    }

    template <typename Vm>
    void sampleDaemon(const Vm &vm)
    {
        if (!vm.daemon) {
            return;
        }
        const auto state = vm.daemon->state();
        observe(m_watch, vm.name, {.lastTicket = state->lastTicket, .lastContent = state->lastContent}, steadyMillis());
    }

    void samplePausable()
    {
        if (!m_pausable || m_pausable->isPaused()) {
            return;
        }
        const auto seen = m_pausable->lastTicket();
        const std::lock_guard lock(m_mutex);
        const auto content = seen ? m_watch.contents.find(*seen) : m_watch.contents.end();
        if (seen && (*seen == 0 || content != m_watch.contents.end())) {
            const Digest digest = *seen == 0 ? Digest{} : content->second;
            observe(m_watch, m_pausable->vm(), {.lastTicket = *seen, .lastContent = digest}, steadyMillis());
        }
    }

    void injectFaults(const Filers &filers)
    {
        // The faults are spread over the tickets, so that each meets filing in progress.
        const std::size_t count = m_options.faults.size() + 1;
        std::size_t turn = 0;
        for (const PlannedFault &planned : m_options.faults) {
            ++turn;
            if (isLasting(planned.fault)) {
                continue;
            }
            while (!filers.isDone() && filers.decided() < m_options.tickets * turn / count) {
                std::this_thread::sleep_for(SampleInterval);
            }
            inject(planned);
            std::this_thread::sleep_for(FaultPause);
        }
    }

    void inject(const PlannedFault &planned)
    {
        const auto time = std::chrono::duration<double>(planned.amount);
        switch (planned.fault) {
        case ConfigFault::LogOutage:
            disturb(
                everyVm(), [&] { m_deployment.setLogOutage(true); }, time, [&] { m_deployment.setLogOutage(false); });
            break;
        case ConfigFault::Partition:
            disturb(
                vmsOf(0), [&] { m_deployment.cutOff({0}); }, time, [&] { m_deployment.cutOff({}); });
            break;
        case ConfigFault::Pause:
            disturb(
                {m_pausable->vm()}, [&] { m_pausable->pause(); }, time, [&] { m_pausable->resume(); });
            break;
        case ConfigFault::RestartEntries:
            for (EntryVm &vm : m_deployment.entries()) {
                stop(vm);
                start(vm);
            }
            break;
        case ConfigFault::RestartAllOfDomain:
            restartDomain(m_options.domains - 1);
            break;
        default:
            break;
        }
    }

    /// Makes a fault begin, last and end, and notes it for the daemons that it touches.
    template <typename Begin, typename End>
    void disturb(const std::vector<std::string> &vms, Begin &&begin, std::chrono::duration<double> time, End &&end)
    {
        {
            const std::lock_guard lock(m_mutex);
            for (const std::string &vm : vms) {
                noteDisturbed(m_watch, vm, steadyMillis());
            }
            begin();
        }
        std::this_thread::sleep_for(time);
        const std::lock_guard lock(m_mutex);
        end();
        for (const std::string &vm : vms) {
            noteUndisturbed(m_watch, vm, steadyMillis());
        }
    }

    std::vector<std::string> vmsOf(unsigned domain)
    {
        std::vector<std::string> names;
        for (const EntryVm &vm : m_deployment.entries()) {
            if (vm.domain == domain) {
                names.push_back(vm.name);
            }
        }
        for (const TargetVm &vm : m_deployment.targets()) {
            if (vm.domain == domain) {
                names.push_back(vm.name);
            }
        }
        if (m_pausable && domain == 0) {
            names.push_back(m_pausable->vm());
        }
        return names;
    }

    /// Ends a daemon outside of the lock, since a graceful stop takes time.
    template <typename Vm>
    void stop(Vm &vm)
    {
        decltype(vm.daemon) stopped;
        {
            const std::lock_guard lock(m_mutex);
            noteDown(m_watch, vm.name, steadyMillis());
            stopped = std::move(vm.daemon);
        }
        stopped.reset();
    }

    void start(EntryVm &vm)
    {
        const std::lock_guard lock(m_mutex);
        m_deployment.startEntry(vm);
        noteUp(m_watch, vm.name, steadyMillis());
    }

    void start(TargetVm &vm)
    {
        const std::lock_guard lock(m_mutex);
        m_deployment.startTarget(vm);
        noteUp(m_watch, vm.name, steadyMillis());
    }

    void restartDomain(unsigned domain)
    {
        std::vector<std::thread> stopping;
        forEachOf(domain, [&](auto &vm) { stopping.emplace_back([this, &vm] { stop(vm); }); });
        for (std::thread &thread : stopping) {
            thread.join();
        }
        forEachOf(domain, [&](auto &vm) { start(vm); });
    }

    template <typename Function>
    void forEachOf(unsigned domain, Function &&function)
    {
        for (EntryVm &vm : m_deployment.entries()) {
            if (vm.domain == domain) {
                function(vm);
            }
        }
        for (TargetVm &vm : m_deployment.targets()) {
            if (vm.domain == domain) {
                function(vm);
            }
        }
    }

    /// Waits until the last accepted ticket is everywhere.
    void settle(const FilerResult &filed)
    {
        const std::uint64_t last = filed.accepted.empty() ? 0 : filed.accepted.rbegin()->first;
        const Millis deadline = steadyMillis() + SettleTimeout;
        bool done = false;
        while (!done && steadyMillis() < deadline) {
            std::this_thread::sleep_for(SampleInterval);
            const std::lock_guard lock(m_mutex);
            done = isEverywhere(m_watch, last);
        }
    }

    /// Counts the accepted tickets that some daemon does not hold, or holds with another content.
    std::uint64_t countLost(const FilerResult &filed)
    {
        std::uint64_t lost = 0;
        for (const auto &[number, contents] : filed.accepted) {
            const auto held = m_watch.contents.find(number);
            const bool agrees = held == m_watch.contents.end() || contents.contains(toHex(held->second));
            lost += isEverywhere(m_watch, number) && agrees ? 0 : 1;
        }
        return lost;
    }

    json report(const FilerResult &filed, const DaemonUsage &usage)
    {
        const std::lock_guard lock(m_mutex);
        const InForceTimes times = inForceTimes(m_watch);
        const std::uint64_t lost = countLost(filed);
        std::uint64_t doubles = m_watch.doubleAccepted;
        for (const auto &[number, contents] : filed.accepted) {
            doubles += contents.size() > 1 ? 1 : 0;
        }
        const double p99 = shareOf(times.undisturbedMs, 0.99);
        const double max = shareOf(times.undisturbedMs, 1);
        const bool ok = lost == 0 && m_watch.reverted == 0 && doubles == 0 && !m_undecided && times.missing == 0
            && filed.accepted.size() == m_options.tickets && p99 <= InForceP99LimitMs && max <= InForceMaxLimitMs
            && m_watch.catchUpMaxMs <= AfterFaultLimitMs;
        return {{"accepted", filed.accepted.size()},
                {"refused", filed.refused},
                {"unknown_answers", filed.unknown},
                {"unavailable_answers", filed.unavailable},
                {"lost", lost},
                {"reverted", m_watch.reverted},
                {"double_accepted", doubles},
                {"never_seen", times.missing},
                {"in_force_p50_ms", shareOf(times.undisturbedMs, 0.5)},
                {"in_force_p99_ms", p99},
                {"in_force_max_ms", max},
                {"after_fault_max_ms", m_watch.catchUpMaxMs},
                {"log_records", m_deployment.log().next()},
                {"log_reads_per_s", usage.logReadsPerSecond},
                {"daemons", daemons()},
                {"daemon_cpu_percent", usage.cpuPercent},
                {"daemon_rss_mb", usage.residentMib},
                {"daemon_bytes_per_s", usage.bytesPerSecond},
                {"seed", m_options.seed},
                {"ok", ok}};
    }

    ConfigOptions m_options;
    Deployment m_deployment;
    std::unique_ptr<PausableEntry> m_pausable;
    std::mutex m_mutex; ///< Guards the watch and the daemons' pointers.
    Watch m_watch;
    bool m_undecided = false;
    Usage m_restBegin;
    std::atomic<bool> m_stopping = false;
};

} // namespace

json runConfigOnce(const ConfigOptions &options)
{
    return ConfigRun(options).run();
}

} // namespace ibislock::lab
