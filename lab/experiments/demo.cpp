#include "experiments/demo.h"

#include "child_process.h"
#include "load/load.h"

#include "ibislock/base/log.h"
#include "ibislock/standins/engine_stand_in.h"
#include "ibislock/standins/log_stand_in.h"
#include "ibislock/standins/vm_list_stand_in.h"
#include "ibislock/standins/weight_store_stand_in.h"

#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;
using namespace ibislock::standins;

constexpr const char *DemoCallerCredential = "demo-caller-credential";
constexpr const char *DemoOperatorCredential = "demo-operator-credential";
constexpr std::uint64_t MiB = 1ULL << 20;
constexpr Millis PollInterval{20};
constexpr Millis DownTime{500};

struct DemoOptions
{
    std::string binary;
    std::string directory;
    unsigned domains = 3;
    unsigned entriesPerDomain = 2;
    unsigned targetsPerDomain = 4;
    std::uint64_t sizeMib = 16;
    Millis loadTime{4000}; ///< How long the load goes on after each rollout.
    Millis rolloutTimeout{20000};
    std::vector<std::string> kill; ///< VMs whose process is killed and started again on the way.
};

/// The stand-ins and the product's processes.
class Demo
{
public:
    explicit Demo(DemoOptions options)
        : m_options(std::move(options))
    {
        m_log.start();
        m_list.start();
        m_store.start();
    }

    void startProcesses()
    {
        for (unsigned d = 0; d < m_options.domains; ++d) {
            const std::string domain = "domain" + std::to_string(d + 1);
            for (unsigned i = 0; i < m_options.entriesPerDomain; ++i) {
                startEntry("entry" + std::to_string(d * m_options.entriesPerDomain + i + 1), domain);
            }
            for (unsigned i = 0; i < m_options.targetsPerDomain; ++i) {
                startTarget("target" + std::to_string(d * m_options.targetsPerDomain + i + 1), domain);
            }
        }
    }

    /// Files a ticket through the first entry VM that answers.
    bool fileTicket(std::uint64_t number, const std::string &version, const Digest &root)
    {
        const json ticket{{"number", number},
                          {"scopes",
                           {{{"workspace", "*"},
                             {"role", "forecast"},
                             {"model", "frost"},
                             {"version", version},
                             {"manifest", toHex(root)},
                             {"vms", m_targets}}}}};
        const Millis deadline = steadyMillis() + m_options.rolloutTimeout;
        while (steadyMillis() < deadline) {
            for (const std::string &url : m_administration) {
                httplib::Client client(url);
                client.set_bearer_token_auth(DemoOperatorCredential);
                const auto result = client.Post("/v1/tickets", ticket.dump(), "application/json");
                if (result && result->status == 200) {
                    return true;
                }
            }
            std::this_thread::sleep_for(PollInterval);
        }
        return false;
    }

    /// Waits until every engine serves a version.
    /// @return the time it took, or nothing.
    std::optional<Millis> waitForAll(const Digest &root) const
    {
        const Millis begin = steadyMillis();
        while (steadyMillis() - begin < m_options.rolloutTimeout) {
            const bool all = std::all_of(m_engines.begin(), m_engines.end(),
                                         [&](const auto &engine) { return engine->root() == root; });
            if (all) {
                return steadyMillis() - begin;
            }
            std::this_thread::sleep_for(PollInterval);
        }
        return std::nullopt;
    }

    /// Gives the names of all VMs.
    std::vector<std::string> vms() const
    {
        std::vector<std::string> names;
        for (const auto &[vm, process] : m_processes) {
            names.push_back(vm);
        }
        return names;
    }

    /// Kills processes one after the other and starts each again.
    void killAndRestart(const std::vector<std::string> &vms)
    {
        for (const std::string &vm : vms) {
            m_processes.at(vm).kill();
            std::this_thread::sleep_for(DownTime);
            m_processes.at(vm) = spawn(vm, vm.starts_with("entry") ? "entry" : "target");
        }
    }

    /// Stops every process as an operator would.
    bool stopProcesses()
    {
        bool clean = true;
        for (auto &[vm, process] : m_processes) {
            process.signal(SIGTERM);
        }
        for (auto &[vm, process] : m_processes) {
            const int status = process.stop();
            if (status != 0) {
                std::cerr << vm << " did not end cleanly: wait status " << status << "\n";
                clean = false;
            }
        }
        return clean;
    }

    std::vector<std::string> callerUrls() const
    {
        return m_callers;
    }

    WeightStoreStandIn &store()
    {
        return m_store;
    }

    std::size_t targetCount() const
    {
        return m_targets.size();
    }

private:
    void startEntry(const std::string &vm, const std::string &domain)
    {
        const auto callers = freePort();
        const auto administration = freePort();
        writeSettings(vm, domain, "entry",
                      "[callers]\nport = " + std::to_string(callers) + "\nthreads = 32\n[administration]\nport = "
                          + std::to_string(administration) + "\n[workspaces]\ndala = " + DemoCallerCredential
                          + "\n[operators]\noperator = " + DemoOperatorCredential
                          + "\n[operator_roles]\noperator = file\n");
        m_callers.push_back("http://127.0.0.1:" + std::to_string(callers));
        m_administration.push_back("http://127.0.0.1:" + std::to_string(administration));
        m_processes.emplace(vm, spawn(vm, "entry"));
    }

    void startTarget(const std::string &vm, const std::string &domain)
    {
        m_engines.push_back(std::make_unique<EngineStandIn>(EngineStandInOptions{.seed = m_engines.size() + 1}));
        m_engines.back()->start();
        writeSettings(vm, domain, "target",
                      "[backend]\nurl = " + m_engines.back()->url() + "\n[weights]\nstore_url = " + m_store.url()
                          + "\nmemory_mib = 128\n");
        m_targets.push_back(vm);
        m_processes.emplace(vm, spawn(vm, "target"));
    }

    void writeSettings(const std::string &vm, const std::string &domain, const std::string &kind,
                       const std::string &rest)
    {
        const auto port = freePort();
        std::ofstream out(settingsPath(vm));
        out << "[process]\nkind = " << kind << "\n[vm]\nname = " << vm << "\nfailure_domain = " << domain
            << "\n[tls]\nmode = plaintext"
            << "\n[rpc]\nport = " << port << "\n[platform]\nlog_url = " << m_log.url()
            << "\nvm_list_url = " << m_list.url() << "\n"
            << rest;
        m_list.set(vm, {.domain = domain, .address = "127.0.0.1:" + std::to_string(port), .kind = kind});
    }

    std::string settingsPath(const std::string &vm) const
    {
        return m_options.directory + "/" + vm + ".ini";
    }

    ChildProcess spawn(const std::string &vm, const std::string &kind) const
    {
        return ChildProcess({m_options.binary, kind, "--settings", settingsPath(vm)},
                            m_options.directory + "/" + vm + ".log");
    }

    DemoOptions m_options;
    LogStandIn m_log{1};
    VmListStandIn m_list{2};
    WeightStoreStandIn m_store{3};
    std::vector<std::unique_ptr<EngineStandIn>> m_engines;
    std::vector<std::string> m_targets;
    std::vector<std::string> m_callers;
    std::vector<std::string> m_administration;
    std::map<std::string, ChildProcess> m_processes;
};

void printRollout(std::uint64_t ticket, std::optional<Millis> took, std::size_t targets, std::uint64_t originBytes,
                  std::uint64_t sizeBytes)
{
    std::cout << "ticket " << ticket << ": ";
    if (took) {
        std::cout << targets << " replicas serve after " << static_cast<double>(took->count()) / 1000 << " s";
    } else {
        std::cout << "not every replica serves the version";
    }
    std::cout << ", " << static_cast<double>(originBytes) / static_cast<double>(sizeBytes)
              << " copies drawn from the origin\n";
}

int run(const DemoOptions &options)
{
    Demo demo(options);
    const std::uint64_t size = options.sizeMib * MiB;
    const Digest first = demo.store().addVersion("frost", "1", size, MiB, 11);
    const Digest second = demo.store().addVersion("frost", "2", size, MiB, 22);
    demo.startProcesses();
    Load load({.entries = demo.callerUrls(), .credential = DemoCallerCredential});

    bool ok = demo.fileTicket(1, "1", first);
    const auto firstTook = demo.waitForAll(first);
    const std::uint64_t firstBytes = demo.store().sentBytes();
    printRollout(1, firstTook, demo.targetCount(), firstBytes, size);

    load.start();
    std::this_thread::sleep_for(options.loadTime / 2);
    demo.killAndRestart(options.kill == std::vector<std::string>{"all"} ? demo.vms() : options.kill);
    ok = demo.fileTicket(2, "2", second) && ok;
    const auto secondTook = demo.waitForAll(second);
    printRollout(2, secondTook, demo.targetCount(), demo.store().sentBytes() - firstBytes, size);
    std::this_thread::sleep_for(options.loadTime / 2);

    const LoadResult result = load.finish();
    const bool clean = demo.stopProcesses();
    std::cout << "requests: sent " << result.sent << ", answered " << result.answered << ", refused " << result.refused
              << ", failed " << result.failed << ", unknown " << result.unknown << ", wrong " << result.wrong
              << ", p95 " << quantile(result.latenciesMs, 0.95) << " ms\n";
    ok = ok && firstTook && secondTook && clean && result.wrong == 0 && result.answered > 0;
    std::cout << (ok ? "demo: ok\n" : "demo: FAILED\n");
    return ok ? 0 : 1;
}

} // namespace

int runDemo(int argc, char **argv)
{
    cxxopts::Options options("ibislock-lab demo", "Runs the whole path as separate processes under live load.");
    options.add_options()("ibislock", "the product's binary", cxxopts::value<std::string>())(
        "directory", "where settings and logs go", cxxopts::value<std::string>())(
        "kill", "VMs whose process is killed on the way, or all of them in turn",
        cxxopts::value<std::vector<std::string>>()->default_value(""))("help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0 || parsed.count("ibislock") == 0 || parsed.count("directory") == 0) {
        std::cout << options.help() << "\n";
        return parsed.count("help") != 0 ? 0 : 2;
    }
    startLogging(LogLevel::Warning);
    std::filesystem::create_directories(parsed["directory"].as<std::string>());
    return run({.binary = parsed["ibislock"].as<std::string>(),
                .directory = parsed["directory"].as<std::string>(),
                .kill = parsed.count("kill") != 0 ? parsed["kill"].as<std::vector<std::string>>()
                                                  : std::vector<std::string>{}});
}

} // namespace ibislock::lab
