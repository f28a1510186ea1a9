#include "experiments/spread_run.h"

#include "deployment.h"
#include "load/load.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <sys/resource.h>

namespace ibislock::lab
{

namespace
{

constexpr double MiB = 1024.0 * 1024.0;
constexpr Millis PollInterval{5};
constexpr Millis SettleTime{2500}; ///< For membership to converge before the burst.
constexpr Millis IdleTime{4000}; ///< How long requests are measured before the burst.
constexpr double CallSeconds = 0.05;
constexpr const char *Model = "frost";

Millis seconds(double value)
{
    return Millis(static_cast<Millis::rep>(value * 1000));
}

double secondsOf(Millis value)
{
    return static_cast<double>(value.count()) / 1000;
}

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto of = [](const timeval &it) {
        return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / 1e6;
    };
    return of(usage.ru_utime) + of(usage.ru_stime);
}

double peakRssMb()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_maxrss) / 1024;
}

weights::RateOptions rateOf(double mibPerS, std::uint64_t chunk)
{
    return {.bytesPerSecond = mibPerS * MiB, .burstBytes = 2.0 * static_cast<double>(chunk)};
}

DeploymentOptions deploymentOptions(const SpreadOptions &options)
{
    const std::uint64_t chunk = chunkBytes(options);
    const Millis gossip{std::max(250U, 4 * options.targets)};
    node::NodeOptions node;
    node.gossipInterval = gossip;
    node.view.reportLifetime = std::max(Millis(3000), 12 * gossip);
    target::TargetOptions target;
    target.node = node;
    target.concurrency = options.liveRps > 0 ? 16 : 4;
    target.upload = rateOf(options.linkMibPerS, chunk);
    target.download = rateOf(options.linkMibPerS, chunk);
    if (options.pairMibPerS) {
        target.pair = rateOf(*options.pairMibPerS, chunk);
    }
    target.plan.policy = options.policy;
    target.plan.storeDomain = domainName(0);
    target.plan.maxOriginRequests = options.policy == weights::Policy::Origin ? 2 : 1;
    target.store.callTimeout = Millis(120000);
    target.chunkStoreBytes = static_cast<std::uint64_t>(2 * options.mib * MiB) + 4 * chunk;
    entry::EntryOptions entry;
    entry.node = node;
    return {.domains = options.domains,
            .entriesPerDomain = 1,
            .targetsPerDomain = (options.targets + options.domains - 1) / options.domains,
            .targets = options.targets,
            .seed = options.seed,
            .engine = {.threads = options.liveRps > 0 ? 24U : 6U, .loadTime = Millis(0)},
            .entry = entry,
            .target = target};
}

/// One run in progress.
class Spread
{
public:
    explicit Spread(const SpreadOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_bound(boundSeconds(options))
        , m_deployment(deploymentOptions(options))
    {
        m_deployment.store().setRate(rateOf(options.originMibPerS, chunkBytes(options)));
    }

    SpreadResult run()
    {
        m_deployment.start();
        std::this_thread::sleep_for(SettleTime);
        startLoad();
        applyLastingFaults();
        planFaults();
        const double cpuBefore = cpuSeconds();
        file("2", m_options.seed * 10 + 2);
        watch();
        m_result.cpuSeconds = cpuSeconds() - cpuBefore;
        finishLoad();
        collect();
        m_deployment.stop();
        m_result.peakRssMb = peakRssMb();
        return m_result;
    }

private:
    struct Action
    {
        Millis at{0};
        std::function<void()> carryOut;
    };

    void startLoad()
    {
        if (m_options.liveRps <= 0) {
            return;
        }
        const Digest root =
            m_deployment.store().addVersion(Model, "1", chunkBytes(m_options), chunkBytes(m_options), 1);
        m_known.insert(root);
        m_deployment.fileTicket(m_deployment.ticketFor(++m_ticket, "1", root), Millis(30000));
        m_deployment.waitUntilServing(root, Millis(60000));
        const double callers = std::clamp(std::ceil(m_options.liveRps * CallSeconds * 2), 1.0, 64.0);
        m_load = std::make_unique<Load>(
            LoadOptions{.entries = m_deployment.callerUrls(),
                        .credential = CallerCredential,
                        .callers = static_cast<unsigned>(callers),
                        .pause = std::max(Millis(1), seconds(callers / m_options.liveRps - CallSeconds)),
                        .seed = m_options.seed});
        m_load->start();
        std::this_thread::sleep_for(IdleTime);
        m_idle = m_load->snapshot();
        m_result.liveP95MsIdle = quantile(m_idle.latenciesMs, 0.95);
    }

    void finishLoad()
    {
        if (!m_load) {
            return;
        }
        const LoadResult result = m_load->finish();
        const auto begin = result.latenciesMs.begin() + static_cast<std::ptrdiff_t>(m_idle.latenciesMs.size());
        m_result.liveP95Ms = quantile({begin, result.latenciesMs.end()}, 0.95);
        m_result.liveAnswered = result.answered;
        m_result.mixedServing += result.wrong;
    }

    /// Files a ticket for a version with new content and takes it as the one that all are to serve.
    void file(const std::string &version, std::uint64_t contentSeed)
    {
        const auto size = static_cast<std::uint64_t>(m_options.mib * MiB);
        m_root = m_deployment.store().addVersion(Model, version, size, chunkBytes(m_options), contentSeed);
        m_known.insert(m_root);
        m_originBefore = m_deployment.store().sentBytes();
        if (m_begin == Millis(0)) {
            m_begin = steadyMillis(); // Targets may start before the answer to the filing arrives.
        }
        if (!m_deployment.fileTicket(m_deployment.ticketFor(++m_ticket, version, m_root), Millis(30000))) {
            throw std::runtime_error("a ticket is not accepted");
        }
        m_servedAt.assign(m_deployment.targets().size(), std::nullopt);
    }

    void applyLastingFaults()
    {
        const SpreadFaults &faults = m_options.faults;
        m_deployment.store().setCorruption(faults.corrupt);
        m_deployment.store().faults().lostAnswers = faults.lostAnswers;
        for (TargetVm &vm : m_deployment.targets()) {
            vm.engine->faults().lostAnswers = faults.lostAnswers;
            vm.daemon->linkFaults().corruption = faults.corrupt;
        }
    }

    void at(double fraction, std::function<void()> action, double delaySeconds = 0)
    {
        m_actions.push_back({.at = seconds(fraction * m_bound + delaySeconds), .carryOut = std::move(action)});
    }

    std::vector<std::size_t> chooseTargets(unsigned count)
    {
        std::vector<std::size_t> chosen(m_deployment.targets().size());
        for (std::size_t i = 0; i < chosen.size(); ++i) {
            chosen[i] = i;
        }
        std::shuffle(chosen.begin(), chosen.end(), m_random);
        chosen.resize(std::min<std::size_t>(count, chosen.size()));
        return chosen;
    }

    void planFaults()
    {
        const SpreadFaults &faults = m_options.faults;
        for (const std::size_t i : chooseTargets(faults.kill)) {
            at(0.4, [this, i] { m_deployment.stopTarget(m_deployment.targets()[i]); });
            at(0.6, [this, i] { restart(m_deployment.targets()[i]); });
        }
        for (const std::size_t i : chooseTargets(faults.stall)) {
            at(0.3, [this, i] { setStalled(m_deployment.targets()[i], true); });
            at(
                0.8, [this, i] { setStalled(m_deployment.targets()[i], false); }, 1);
        }
        if (faults.originOutageSeconds > 0) {
            at(0.2, [this] { m_deployment.store().faults().outage = true; });
            at(
                0.2, [this] { m_deployment.store().faults().outage = false; }, faults.originOutageSeconds);
        }
        if (faults.partitionSeconds > 0) {
            at(0.3, [this] { m_deployment.cutOff({m_options.domains - 1}); });
            at(
                0.3, [this] { m_deployment.cutOff({}); }, faults.partitionSeconds);
        }
        if (faults.versionChange) {
            const std::uint64_t content = m_options.seed * 10 + 3;
            at(0.3, [this, content] {
                const auto size = static_cast<std::uint64_t>(m_options.mib * MiB);
                m_known.insert(m_deployment.store().addVersion(Model, "2", size, chunkBytes(m_options), content));
            });
            at(0.6, [this, content] { file("2", content); });
        }
        if (faults.overtake) {
            at(0.7, [this] { file("3", m_options.seed * 10 + 4); });
        }
        std::stable_sort(m_actions.begin(), m_actions.end(),
                         [](const Action &a, const Action &b) { return a.at < b.at; });
    }

    void restart(TargetVm &vm)
    {
        m_deployment.startTarget(vm);
        vm.daemon->linkFaults().corruption = m_options.faults.corrupt;
    }

    static void setStalled(TargetVm &vm, bool stalled)
    {
        if (vm.daemon) {
            vm.daemon->linkFaults().isStalled = stalled;
        }
    }

    Millis timeout() const
    {
        if (m_options.timeoutSeconds > 0) {
            return seconds(m_options.timeoutSeconds);
        }
        const double copies = m_options.policy == weights::Policy::Origin ? m_options.targets : 6;
        return seconds(30 + copies * m_bound + m_options.faults.originOutageSeconds
                       + m_options.faults.partitionSeconds);
    }

    void watch()
    {
        std::size_t next = 0;
        while (steadyMillis() - m_begin < timeout()) {
            while (next < m_actions.size() && steadyMillis() - m_begin >= m_actions[next].at) {
                collectGone();
                m_actions[next++].carryOut();
            }
            observe();
            const bool all = std::all_of(m_servedAt.begin(), m_servedAt.end(), [](const auto &it) { return it; });
            if (all && next == m_actions.size()) {
                m_result.isComplete = true;
                return;
            }
            std::this_thread::sleep_for(PollInterval);
        }
    }

    void observe()
    {
        auto &targets = m_deployment.targets();
        for (std::size_t i = 0; i < targets.size(); ++i) {
            const Digest root = targets[i].engine->root();
            if (!root.isNone() && !m_known.contains(root) && m_odd.insert({i, root}).second) {
                ++m_result.corruptAccepted;
            }
            if (root != m_root) {
                m_servedAt[i].reset();
            } else if (!m_servedAt[i]) {
                m_servedAt[i] = steadyMillis() - m_begin;
            }
        }
    }

    /// Adds up what the daemons counted; those that are stopped later are counted before.
    void collectGone()
    {
        // Counters of a daemon end with it, so they are read at each step and the highest value counts.
        auto &targets = m_deployment.targets();
        m_imports.resize(targets.size());
        for (std::size_t i = 0; i < targets.size(); ++i) {
            if (targets[i].daemon) {
                for (const auto &[domain, bytes] : targets[i].daemon->imports().bytesByDomain()) {
                    auto &known = m_imports[i][domain];
                    known = std::max(known, bytes);
                }
            }
        }
    }

    void collect()
    {
        collectGone();
        const double size = m_options.mib * MiB;
        std::uint64_t duplicates = 0;
        std::map<std::pair<unsigned, std::string>, std::uint64_t> pairs;
        auto &targets = m_deployment.targets();
        for (std::size_t i = 0; i < targets.size(); ++i) {
            for (const auto &[domain, bytes] : m_imports[i]) {
                pairs[{targets[i].domain, domain}] += bytes;
            }
            if (!targets[i].daemon) {
                continue;
            }
            const Counters &counters = targets[i].daemon->counters();
            duplicates += counters.value(Counter::DuplicateBytes);
            m_result.corruptDropped += counters.value(Counter::CorruptChunks);
            m_result.chunkCalls += counters.value(Counter::ChunkCalls);
            m_result.chunkRefusals += counters.value(Counter::ChunkRefusals);
            m_result.chunkTimeouts += counters.value(Counter::ChunkTimeouts);
            m_result.holdingsCalls += counters.value(Counter::HoldingsCalls);
            m_result.versionsRefused += counters.value(Counter::VersionsRefused);
        }
        for (const auto &[pair, bytes] : pairs) {
            m_result.pairCopiesMax = std::max(m_result.pairCopiesMax, static_cast<double>(bytes) / size);
        }
        m_result.duplicatePercent =
            100 * static_cast<double>(duplicates) / (size * static_cast<double>(targets.size()));
        m_result.originCopies = static_cast<double>(m_deployment.store().sentBytes() - m_originBefore) / size;
        std::vector<Millis> times;
        for (const auto &it : m_servedAt) {
            times.push_back(it.value_or(steadyMillis() - m_begin));
        }
        std::sort(times.begin(), times.end());
        m_result.secondsToAll = secondsOf(times.back());
        m_result.secondsToHalf = secondsOf(times[(times.size() - 1) / 2]);
    }

    SpreadOptions m_options;
    Random m_random;
    double m_bound;
    Deployment m_deployment;
    std::unique_ptr<Load> m_load;
    LoadResult m_idle;
    std::uint64_t m_ticket = 0;
    Digest m_root;
    std::set<Digest> m_known;
    std::set<std::pair<std::size_t, Digest>> m_odd;
    std::uint64_t m_originBefore = 0;
    Millis m_begin{0};
    std::vector<std::optional<Millis>> m_servedAt;
    std::vector<std::map<std::string, std::uint64_t>> m_imports;
    std::vector<Action> m_actions;
    SpreadResult m_result;
};

} // namespace

SpreadResult runSpreadOnce(const SpreadOptions &options)
{
    return Spread(options).run();
}

} // namespace ibislock::lab
