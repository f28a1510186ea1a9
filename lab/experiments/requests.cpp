#include "experiments/requests.h"

#include "experiments/requests_faults.h"
#include "experiments/requests_report.h"
#include "load/open_load.h"

#include "ibislock/base/log.h"

#include <cxxopts.hpp>
#include <iostream>
#include <numeric>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t ChunkBytes = 64 << 10;
constexpr std::uint64_t VersionBytes = 4 * ChunkBytes;
constexpr Millis ServeTimeout{10000};
constexpr Millis CalibrationTime{5000};
constexpr Millis RecoveryTime{8000};
constexpr Millis Deadline{4000};
constexpr double NormalLoad = 0.5;
constexpr double RecoveredWithinMs = 5000;
constexpr double GoodputRatioMin = 0.9;
constexpr double FairnessMin = 0.95;
constexpr double LeaveMsMax = 3000;
constexpr double ServiceShare = 0.1;
constexpr double DirectRps = 60;
constexpr unsigned ClosedLoopPerSlot = 2;

/// The options of a run.
struct RequestsOptions
{
    unsigned entries = 6;
    unsigned targets = 9;
    unsigned domains = 3;
    double rps = 100;
    Millis duration{8000};
    requests::RoutingPolicy policy = requests::RoutingPolicy::Prefix;
    unsigned workspaces = 10;
    std::uint64_t seed = 1;
    double overload = 0; ///< Zero for none.
    FaultList faults;
};

/// The calls of a run, by phase.
struct RunRecords
{
    std::vector<CallRecord> capacity; ///< At exactly the targets' capacity; only with an overload.
    std::vector<CallRecord> main;
    std::vector<CallRecord> recovery; ///< After the overload.
    std::vector<CallRecord> direct; ///< Straight to the engines, for comparison; without overload only.
};

standins::EngineStandInOptions engineOptions()
{
    return {.threads = 128,
            .firstTokenTime = Millis(5),
            .tokenTime = Millis(8),
            .slots = 4,
            .prefillTime = Millis(6),
            .cacheBlocks = 12 * 17};
}

/// Every third workspace is large: three times the calls. Each fourth has twice the weight.
std::vector<WorkspaceLoad> workspacesOf(unsigned count)
{
    std::vector<WorkspaceLoad> workspaces;
    for (unsigned i = 0; i < count; ++i) {
        workspaces.push_back({.credential = "credential-" + std::to_string(i), .share = i % 3 == 0 ? 3.0 : 1.0});
    }
    return workspaces;
}

std::vector<double> weightsOf(unsigned count)
{
    std::vector<double> weights;
    for (unsigned i = 0; i < count; ++i) {
        weights.push_back(i % 4 == 0 ? 2 : 1);
    }
    return weights;
}

DeploymentOptions deploymentOptions(const RequestsOptions &options)
{
    DeploymentOptions deployment{.domains = options.domains,
                                 .entriesPerDomain = std::max(options.entries / options.domains, 1U),
                                 .targetsPerDomain = std::max(options.targets / options.domains, 1U),
                                 .servicesPerDomain = 1,
                                 .seed = options.seed,
                                 .engine = engineOptions()};
    deployment.entry.policy = options.policy;
    deployment.entry.requestTimeout = Deadline;
    deployment.entry.routes["/desk"] = "desk";
    const auto weights = weightsOf(options.workspaces);
    for (unsigned i = 0; i < options.workspaces; ++i) {
        const std::string name = "workspace" + std::to_string(i);
        security::addCaller(deployment.entry.credentials.keys, "credential-" + std::to_string(i), name);
        deployment.target.shares[name] = weights[i];
    }
    applyToOptions(options.faults, deployment);
    return deployment;
}

/// One run of the experiment.
class RequestsRun
{
public:
    explicit RequestsRun(const RequestsOptions &options)
        : m_options(options)
        , m_deployment(deploymentOptions(options))
        , m_load(m_balancer,
                 {.workspaces = workspacesOf(options.workspaces),
                  .services = options.overload > 0 ? 0 : ServiceShare,
                  .impatient = options.faults.contains("retry-storm"),
                  .callers = 600,
                  .seed = options.seed})
        , m_faults(m_deployment, m_balancer, options.faults)
    {
    }

    /// Brings the first version to all targets.
    bool prepare()
    {
        m_deployment.start();
        const Digest root = m_deployment.store().addVersion("frost", "1", VersionBytes, ChunkBytes, 1);
        const bool served = m_deployment.fileTicket(m_deployment.ticketFor(1, "1", root))
            && m_deployment.waitUntilServing(root, ServeTimeout);
        std::this_thread::sleep_for(Millis(1500));
        m_balancer.set(m_deployment.callerUrls());
        return served;
    }

    json run()
    {
        const bool overload = m_options.overload > 0;
        if (overload) {
            m_load.run({.rps = 0, .duration = CalibrationTime / 2, .callers = closedLoopCallers()});
            m_records.capacity = m_load.run({.rps = 0, .duration = CalibrationTime, .callers = closedLoopCallers()});
        } else {
            m_records.direct = callEngines();
            m_load.run({.rps = m_options.rps, .duration = Millis(2000)});
        }
        m_cacheBefore = cacheUse();
        m_faults.begin();
        std::thread events([this] {
            std::this_thread::sleep_for(m_options.duration / 4);
            m_faults.runEvents();
        });
        const double rps = overload ? m_options.overload * capacityRps() : m_options.rps;
        m_records.main = m_load.run({.rps = rps, .duration = m_options.duration});
        m_faults.end();
        if (overload) {
            m_records.recovery = m_load.run({.rps = NormalLoad * capacityRps(), .duration = RecoveryTime});
        }
        events.join();
        return describe();
    }

private:
    unsigned closedLoopCallers() const
    {
        return ClosedLoopPerSlot * engineOptions().slots * static_cast<unsigned>(targetCount());
    }

    std::size_t targetCount() const
    {
        return std::size_t(std::max(m_options.targets / m_options.domains, 1U)) * m_options.domains;
    }

    /// Calls the engines without ibislock between, to see what a call costs in any case.
    std::vector<CallRecord> callEngines()
    {
        std::vector<std::string> urls;
        for (const TargetVm &vm : m_deployment.targets()) {
            urls.push_back(vm.engine->url());
        }
        Balancer engines;
        engines.set(std::move(urls));
        OpenLoad load(engines, {.workspaces = workspacesOf(1), .callers = 64, .seed = m_options.seed + 1000});
        return load.run({.rps = DirectRps, .duration = Millis(2000)});
    }

    double inTimePerSecond(const std::vector<CallRecord> &records, Millis duration) const
    {
        const auto answered = answeredInTime(records, m_options.workspaces, static_cast<double>(Deadline.count()));
        return std::accumulate(answered.begin(), answered.end(), 0.0) * 1000 / static_cast<double>(duration.count());
    }

    double capacityRps() const
    {
        return inTimePerSecond(m_records.capacity, CalibrationTime);
    }

    standins::CacheUse cacheUse()
    {
        standins::CacheUse total;
        for (const TargetVm &vm : m_deployment.targets()) {
            const auto use = vm.engine->cacheUse();
            total.blocks += use.blocks;
            total.cached += use.cached;
        }
        return total;
    }

    double prefixHitRatio()
    {
        const auto use = cacheUse();
        const auto blocks = static_cast<double>(use.blocks - m_cacheBefore.blocks);
        return blocks > 0 ? static_cast<double>(use.cached - m_cacheBefore.cached) / blocks : 0;
    }

    double retryLoadPercent()
    {
        std::uint64_t retries = 0;
        std::uint64_t received = 0;
        for (const EntryVm &vm : m_deployment.entries()) {
            if (vm.daemon) {
                retries += vm.daemon->counters().value(Counter::RequestRetries);
                received += vm.daemon->counters().value(Counter::RequestsReceived);
            }
        }
        return received > 0 ? 100.0 * static_cast<double>(retries) / static_cast<double>(received) : 0;
    }

    /// Counts the calls that stopped daemons did not wait for, as they and their callers saw it.
    std::uint64_t cutByPlannedStop() const
    {
        std::uint64_t cut = m_faults.trace().cutByStop;
        for (const auto &records : {m_records.main, m_records.recovery}) {
            for (const CallRecord &record : records) {
                const auto &stopped = m_faults.trace().stoppedEntries;
                cut += record.noAnswer && std::find(stopped.begin(), stopped.end(), record.entry) != stopped.end();
            }
        }
        return cut;
    }

    double newWorkAfterLeaveMs()
    {
        double latest = 0;
        for (const auto &[target, at] : m_faults.trace().left) {
            const Millis after = m_deployment.targets()[target].engine->lastStartedAt() - at;
            latest = std::max(latest, static_cast<double>(after.count()));
        }
        return latest;
    }

    /// Gives the time from the burst's end to the last call that was refused, failed or late.
    double recoveryMs() const
    {
        double burstEnd = 0;
        double last = 0;
        for (const CallRecord &record : m_records.main) {
            burstEnd = std::max(burstEnd, record.scheduledMs);
        }
        for (const CallRecord &record : m_records.recovery) {
            const bool good = record.verdict == Verdict::Answered
                && record.endedMs - record.scheduledMs <= static_cast<double>(Deadline.count());
            last = good ? last : std::max(last, record.scheduledMs);
        }
        return std::max(last - burstEnd, 0.0);
    }

    json describe()
    {
        std::vector<CallRecord> all = m_records.capacity;
        all.insert(all.end(), m_records.main.begin(), m_records.main.end());
        all.insert(all.end(), m_records.recovery.begin(), m_records.recovery.end());
        json result = describeCalls(all, m_deployment);
        result.update(describeTimes(m_records.main, m_deployment));
        const json direct = describeTimes(m_records.direct, m_deployment);
        result["direct_p50_ms"] = direct["overhead_p50_ms"];
        result["direct_p95_ms"] = direct["overhead_p95_ms"];
        const double deadlineMs = static_cast<double>(Deadline.count());
        const bool overload = m_options.overload > 0;
        const double goodput = inTimePerSecond(m_records.main, m_options.duration);
        result["policy"] = nameOf(requests::RoutingPolicyNames, m_options.policy);
        result["seed"] = m_options.seed;
        result["goodput_rps"] = goodput;
        result["goodput_ratio"] =
            overload ? goodput / std::max(capacityRps(), 1.0) : goodput / std::max(m_options.rps, 1.0);
        result["fairness"] = fairnessOf(m_records.main, weightsOf(m_options.workspaces), deadlineMs);
        result["prefix_hit_ratio"] = prefixHitRatio();
        result["retry_load_percent"] = retryLoadPercent();
        result["cut_by_planned_stop"] = cutByPlannedStop();
        result["new_work_after_leave_ms"] = newWorkAfterLeaveMs();
        if (overload) {
            result["capacity_rps"] = capacityRps();
            result["recovery_ms"] = recoveryMs();
        }
        result["ok"] = isOk(result);
        return result;
    }

    bool isOk(const json &result) const
    {
        bool ok = m_faults.trace().ok && result["answered"] > 0 && result["new_work_after_leave_ms"] < LeaveMsMax;
        for (const char *never :
             {"wrong_answer", "truncated", "ran_after_not_run", "ran_twice", "cut_by_planned_stop"}) {
            ok = ok && result[never] == 0;
        }
        if (m_options.overload > 0) {
            ok = ok && result["goodput_ratio"] >= GoodputRatioMin && result["fairness"] >= FairnessMin
                && result["recovery_ms"] < RecoveredWithinMs;
        }
        return ok;
    }

    RequestsOptions m_options;
    Deployment m_deployment;
    Balancer m_balancer;
    OpenLoad m_load;
    FaultDriver m_faults;
    RunRecords m_records;
    standins::CacheUse m_cacheBefore;
};

std::optional<RequestsOptions> optionsFrom(const cxxopts::ParseResult &parsed)
{
    RequestsOptions options{.entries = parsed["entries"].as<unsigned>(),
                            .targets = parsed["targets"].as<unsigned>(),
                            .domains = std::max(parsed["domains"].as<unsigned>(), 1U),
                            .rps = parsed["rps"].as<double>(),
                            .duration = Millis(parsed["seconds"].as<std::int64_t>() * 1000),
                            .workspaces = std::max(parsed["workspaces"].as<unsigned>(), 1U),
                            .seed = parsed["seed"].as<std::uint64_t>(),
                            .overload = parsed["overload"].as<double>()};
    const auto policy = valueOf(requests::RoutingPolicyNames, parsed["policy"].as<std::string>());
    if (!policy) {
        std::cerr << "no such policy: " << parsed["policy"].as<std::string>() << "\n";
        return std::nullopt;
    }
    options.policy = *policy;
    for (const std::string &fault : parsed["fault"].as<std::vector<std::string>>()) {
        if (!fault.empty() && !addFault(options.faults, fault)) {
            std::cerr << "no such fault: " << fault << "\n";
            return std::nullopt;
        }
    }
    return options;
}

} // namespace

int runRequests(int argc, char **argv)
{
    cxxopts::Options options("ibislock-lab requests", "Callers before a deployment, under overload and faults.");
    options.add_options()("entries", "entry VMs", cxxopts::value<unsigned>()->default_value("6"))(
        "targets", "target VMs", cxxopts::value<unsigned>()->default_value("9"))(
        "domains", "failure domains", cxxopts::value<unsigned>()->default_value("3"))(
        "rps", "calls a second", cxxopts::value<double>()->default_value("100"))(
        "seconds", "length of the main phase", cxxopts::value<std::int64_t>()->default_value("8"))(
        "policy", "routing policy", cxxopts::value<std::string>()->default_value("prefix"))(
        "workspaces", "workspaces", cxxopts::value<unsigned>()->default_value("10"))(
        "seed", "seed of the load", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "overload", "load in multiples of the capacity measured first; --rps does not count then",
        cxxopts::value<double>()->default_value("0"))("fault", "NAME or NAME=X; may be repeated",
                                                      cxxopts::value<std::vector<std::string>>()->default_value(""))(
        "help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help() << "\n";
        return 0;
    }
    const auto run = optionsFrom(parsed);
    if (!run) {
        return 2;
    }
    startLogging(LogLevel::Error);
    RequestsRun experiment(*run);
    if (!experiment.prepare()) {
        std::cerr << "the first version does not serve everywhere\n";
        return 1;
    }
    const json result = experiment.run();
    std::cout << result.dump() << "\n";
    return result["ok"] ? 0 : 1;
}

} // namespace ibislock::lab
