#include "experiments/recover.h"

#include "load/load.h"
#include "process_deployment.h"

#include "ibislock/base/log.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <set>
#include <thread>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr Millis DownTime{500};
constexpr Millis PollInterval{20};
constexpr Millis PeakWindow{100};
constexpr double MillisPerSecond = 1000;
constexpr std::uint64_t ReadsPerStart = 4; ///< Of the log by one process that catches up.

/// How often the platform was called.
struct PlatformCalls
{
    std::uint64_t logReads = 0;
    std::uint64_t logAppends = 0;
    std::uint64_t listReads = 0;
    std::uint64_t originBytes = 0;
};

PlatformCalls callsOf(ProcessDeployment &deployment)
{
    return {.logReads = deployment.log().reads(),
            .logAppends = deployment.log().appends(),
            .listReads = deployment.vmList().reads(),
            .originBytes = deployment.store().sentBytes()};
}

/// Watches how many calls the platform gets in the busiest window.
class PeakWatch
{
public:
    explicit PeakWatch(ProcessDeployment &deployment)
        : m_thread([this, &deployment] { watch(deployment); })
    {
    }

    ~PeakWatch()
    {
        finish();
    }

    PeakWatch(const PeakWatch &) = delete;
    PeakWatch &operator=(const PeakWatch &) = delete;

    /// @return the most calls in one window.
    std::uint64_t finish()
    {
        m_stopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        return m_peak;
    }

private:
    static std::uint64_t totalOf(ProcessDeployment &deployment)
    {
        const PlatformCalls calls = callsOf(deployment);
        return calls.logReads + calls.logAppends + calls.listReads;
    }

    void watch(ProcessDeployment &deployment)
    {
        std::uint64_t last = totalOf(deployment);
        while (!m_stopping) {
            std::this_thread::sleep_for(PeakWindow);
            const std::uint64_t now = totalOf(deployment);
            m_peak = std::max(m_peak, now - last);
            last = now;
        }
    }

    std::uint64_t m_peak = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

bool isChosen(const ProcessVm &vm, RestartShare share, std::size_t index, std::size_t count)
{
    constexpr std::size_t Tenth = 10;
    switch (share) {
    case RestartShare::Tenth:
        return index % Tenth == 0 || (count < Tenth && index == 0);
    case RestartShare::Domain:
        return vm.domain == "domain1";
    case RestartShare::Entries:
        return vm.isEntry;
    case RestartShare::Targets:
        return !vm.isEntry;
    case RestartShare::All:
        return true;
    }
    return false;
}

std::vector<ProcessVm *> chosenVms(ProcessDeployment &deployment, RestartShare share)
{
    std::vector<ProcessVm *> chosen;
    auto &vms = deployment.vms();
    for (std::size_t i = 0; i < vms.size(); ++i) {
        if (isChosen(vms[i], share, i, vms.size())) {
            chosen.push_back(&vms[i]);
        }
    }
    return chosen;
}

/// Stops the processes together.
/// @return whether every planned stop ended with success.
bool stopTogether(const std::vector<ProcessVm *> &vms, bool graceful)
{
    for (ProcessVm *vm : vms) {
        vm->process->signal(graceful ? SIGTERM : SIGKILL);
    }
    bool clean = true;
    for (ProcessVm *vm : vms) {
        const int status = vm->process->stop();
        clean = clean && (!graceful || status == 0);
        vm->process.reset();
    }
    return clean;
}

bool answersACall(const std::string &entryUrl)
{
    httplib::Client client(entryUrl);
    client.set_bearer_token_auth(ProcessCallerCredential);
    const json body{{"model", "forecast"}, {"prompt", "probe"}, {"max_tokens", 1}};
    const auto reply = client.Post("/v1/completions", body.dump(), "application/json");
    return reply && reply->status == 200;
}

/// Waits until all restarted VMs take part again.
/// @param startedBefore how many requests each engine had started when its VM came back.
std::optional<Millis> waitForFullService(const std::vector<ProcessVm *> &vms,
                                         const std::vector<std::uint64_t> &startedBefore, Millis timeout)
{
    const Millis begin = steadyMillis();
    std::set<std::size_t> waiting;
    for (std::size_t i = 0; i < vms.size(); ++i) {
        waiting.insert(i);
    }
    while (steadyMillis() - begin < timeout) {
        std::erase_if(waiting, [&](std::size_t i) {
            const ProcessVm &vm = *vms[i];
            return vm.isEntry ? answersACall(vm.callersUrl) : vm.engine->started() > startedBefore[i];
        });
        if (waiting.empty()) {
            return steadyMillis() - begin;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return std::nullopt;
}

std::uint64_t untruthfulOf(ProcessDeployment &deployment, const LoadResult &result)
{
    const auto &vms = deployment.vms();
    return static_cast<std::uint64_t>(
        std::count_if(result.refusedPrompts.begin(), result.refusedPrompts.end(), [&](const std::string &prompt) {
            return std::any_of(vms.begin(), vms.end(),
                               [&](const ProcessVm &vm) { return !vm.isEntry && vm.engine->hasRun(prompt); });
        }));
}

/// What the platform may be asked while VMs recover.
struct PlatformLimits
{
    std::uint64_t logReads = 0;
    std::uint64_t logAppends = 0;
    std::uint64_t listReads = 0;
};

/// Every process reads the log once a second and once for each append, and the list once a second; a restarted target
/// claims its slot once, and may repeat a claim whose answer was lost.
PlatformLimits limitsFor(std::size_t vms, std::size_t restarted, std::size_t restartedTargets, Millis elapsed)
{
    const auto rounds = static_cast<std::uint64_t>(static_cast<double>(elapsed.count()) / MillisPerSecond) + 1;
    const std::uint64_t appends = 2 * restartedTargets;
    return {.logReads = vms * (rounds + appends) + restarted * ReadsPerStart,
            .logAppends = appends,
            .listReads = vms * 2 * rounds + restarted};
}

} // namespace

json runRestart(const RecoverOptions &options)
{
    ProcessDeployment deployment({.binary = options.binary,
                                  .directory = options.directory,
                                  .domains = options.domains,
                                  .entriesPerDomain = options.entriesPerDomain,
                                  .targetsPerDomain = options.targetsPerDomain});
    const Digest root = deployment.addVersion(1);
    deployment.startAll();
    if (!deployment.fileTicket(1, root, options.timeout) || !deployment.waitUntilServing(root, options.timeout)) {
        return {{"experiment", "recover"}, {"error", "the targets do not serve before the restart"}, {"ok", false}};
    }
    Load load({.entries = deployment.callerUrls(), .credential = ProcessCallerCredential, .callers = options.callers});
    load.start();
    std::this_thread::sleep_for(options.warmUp);

    const auto chosen = chosenVms(deployment, options.share);
    const PlatformCalls before = callsOf(deployment);
    PeakWatch peakWatch(deployment);
    const Millis begin = steadyMillis();
    const bool clean = stopTogether(chosen, options.graceful);
    const Millis stopTime = steadyMillis() - begin;
    std::this_thread::sleep_for(DownTime);
    std::vector<std::uint64_t> startedBefore;
    std::size_t targets = 0;
    for (ProcessVm *vm : chosen) {
        startedBefore.push_back(vm->isEntry ? 0 : vm->engine->started());
        targets += vm->isEntry ? 0 : 1;
        deployment.start(*vm);
    }
    const auto full = waitForFullService(chosen, startedBefore, options.timeout);
    const Millis elapsed = steadyMillis() - begin;
    const PlatformCalls after = callsOf(deployment);
    const std::uint64_t peak = peakWatch.finish();
    std::this_thread::sleep_for(options.coolDown);
    const LoadResult result = load.finish();
    const std::uint64_t untruthful = untruthfulOf(deployment, result);
    bool ok = deployment.stopAll() && clean;

    const PlatformLimits limits = limitsFor(deployment.vms().size(), chosen.size(), targets, elapsed);
    const std::uint64_t logReads = after.logReads - before.logReads;
    const std::uint64_t logAppends = after.logAppends - before.logAppends;
    const std::uint64_t listReads = after.listReads - before.listReads;
    const std::uint64_t lost = result.failed + result.unknown;
    ok = ok && full && *full <= options.fullServiceMax && result.wrong == 0 && untruthful == 0 && result.answered > 0
        && logReads <= limits.logReads && logAppends <= limits.logAppends && listReads <= limits.listReads
        && (!options.graceful || lost == 0);
    return {{"experiment", "recover"},
            {"share", nameOf(RestartShareNames, options.share)},
            {"stop", options.graceful ? "graceful" : "kill"},
            {"vms", deployment.vms().size()},
            {"restarted", chosen.size()},
            {"stop_ms", stopTime.count()},
            {"full_service_ms", full ? json(full->count()) : json()},
            {"sent", result.sent},
            {"answered", result.answered},
            {"refused", result.refused},
            {"unreachable", result.unreachable},
            {"lost", lost},
            {"failed", result.failed},
            {"unknown", result.unknown},
            {"wrong", result.wrong},
            {"untruthful", untruthful},
            {"p95_ms", quantile(result.latenciesMs, 0.95)},
            {"log_reads", logReads},
            {"log_appends", logAppends},
            {"list_reads", listReads},
            {"platform_calls_peak_per_s", static_cast<double>(peak) * MillisPerSecond / PeakWindow.count()},
            {"origin_bytes", after.originBytes - before.originBytes},
            {"limits",
             {{"full_service_ms", options.fullServiceMax.count()},
              {"log_reads", limits.logReads},
              {"log_appends", limits.logAppends},
              {"list_reads", limits.listReads},
              {"wrong", 0},
              {"untruthful", 0},
              {"lost", options.graceful ? json(0) : json()}}},
            {"ok", ok}};
}

int runRecover(int argc, char **argv)
{
    cxxopts::Options options("ibislock-lab recover", "Restarts many VMs at once under load; one JSON line a restart.");
    auto add = options.add_options();
    add("ibislock", "the product's binary", cxxopts::value<std::string>());
    add("directory", "where settings and logs go", cxxopts::value<std::string>());
    add("share", "tenth, domain, entries, targets, all; or several of them",
        cxxopts::value<std::vector<std::string>>()->default_value("tenth,domain,all"));
    add("graceful", "a planned stop in place of kill -9");
    add("domains", "failure domains", cxxopts::value<unsigned>()->default_value("3"));
    add("entries", "entry VMs in each", cxxopts::value<unsigned>()->default_value("2"));
    add("targets", "target VMs in each", cxxopts::value<unsigned>()->default_value("4"));
    add("callers", "concurrent callers", cxxopts::value<unsigned>()->default_value("16"));
    add("help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0 || parsed.count("ibislock") == 0 || parsed.count("directory") == 0) {
        std::cout << options.help() << "\n";
        return parsed.count("help") != 0 ? 0 : 2;
    }
    startLogging(LogLevel::Warning);
    bool ok = true;
    for (const std::string &name : parsed["share"].as<std::vector<std::string>>()) {
        const auto share = valueOf(RestartShareNames, name);
        if (!share) {
            std::cerr << "there is no share " << name << "\n";
            return 2;
        }
        const json result = runRestart({.binary = parsed["ibislock"].as<std::string>(),
                                        .directory = parsed["directory"].as<std::string>() + "/" + name,
                                        .share = *share,
                                        .graceful = parsed.count("graceful") != 0,
                                        .domains = parsed["domains"].as<unsigned>(),
                                        .entriesPerDomain = parsed["entries"].as<unsigned>(),
                                        .targetsPerDomain = parsed["targets"].as<unsigned>(),
                                        .callers = parsed["callers"].as<unsigned>()});
        std::cout << result.dump() << std::endl;
        ok = ok && result["ok"].get<bool>();
    }
    return ok ? 0 : 1;
}

} // namespace ibislock::lab
