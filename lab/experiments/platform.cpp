#include "experiments/platform.h"

#include "child_process.h"

#include "ibislock/base/log.h"
#include "ibislock/standins/engine_stand_in.h"
#include "ibislock/standins/log_stand_in.h"
#include "ibislock/standins/vm_list_stand_in.h"
#include "ibislock/standins/weight_store_stand_in.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
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

constexpr const char *CallerCredential = "try-caller-credential";
constexpr const char *OperatorCredential = "try-operator-credential";
constexpr std::uint64_t ChunkBytes = 1ULL << 20;
constexpr std::uint64_t VersionBytes = 8 * ChunkBytes;
constexpr unsigned Versions = 3;

struct PlatformOptions
{
    std::string directory;
    unsigned domains = 1;
    unsigned entriesPerDomain = 1;
    unsigned targetsPerDomain = 2;
};

/// The stand-ins, and the files that describe a deployment on them.
class Platform
{
public:
    explicit Platform(PlatformOptions options)
        : m_options(std::move(options))
    {
        m_log.start();
        m_list.start();
        m_store.start();
    }

    void writeAll()
    {
        for (unsigned d = 0; d < m_options.domains; ++d) {
            const std::string domain = "domain" + std::to_string(d + 1);
            for (unsigned i = 0; i < m_options.entriesPerDomain; ++i) {
                writeEntry("entry" + std::to_string(++m_entries), domain);
            }
            for (unsigned i = 0; i < m_options.targetsPerDomain; ++i) {
                m_targets.push_back("target" + std::to_string(m_targets.size() + 1));
                writeTarget(m_targets.back(), domain);
            }
        }
        for (unsigned version = 1; version <= Versions; ++version) {
            writeTicket(version);
        }
        std::ofstream(path("credential")) << OperatorCredential << "\n";
        std::ofstream(path("addresses")) << m_addresses;
    }

private:
    std::string path(const std::string &name) const
    {
        return m_options.directory + "/" + name;
    }

    void writeEntry(const std::string &vm, const std::string &domain)
    {
        const std::string callers = std::to_string(freePort());
        const std::string administration = std::to_string(freePort());
        if (m_addresses.empty()) {
            m_addresses = "export CALLERS=http://127.0.0.1:" + callers + "\nexport CALLER_CREDENTIAL="
                + CallerCredential + "\nexport ENTRY=http://127.0.0.1:" + administration + "\n";
        }
        writeSettings(vm, domain, "entry",
                      "\n[callers]\nport = " + callers + "\n\n[administration]\nport = " + administration
                          + "\n\n[workspaces]\nsteppe = " + CallerCredential
                          + "\n\n[operators]\noperator = " + OperatorCredential + "\n");
    }

    void writeTarget(const std::string &vm, const std::string &domain)
    {
        m_engines.push_back(std::make_unique<EngineStandIn>(EngineStandInOptions{.seed = m_engines.size() + 1}));
        m_engines.back()->start();
        writeSettings(vm, domain, "target",
                      "\n[backend]\nurl = " + m_engines.back()->url() + "\n\n[weights]\nstore_url = " + m_store.url()
                          + "\nmemory_mib = 128\n");
    }

    void writeSettings(const std::string &vm, const std::string &domain, const std::string &kind,
                       const std::string &rest)
    {
        const std::string port = std::to_string(freePort());
        std::ofstream(path(vm + ".ini")) << "[process]\nkind = " << kind << "\n\n[vm]\nname = " << vm
                                         << "\nfailure_domain = " << domain << "\n\n[rpc]\nport = " << port
                                         << "\n\n[platform]\nlog_url = " << m_log.url()
                                         << "\nvm_list_url = " << m_list.url() << "\n"
                                         << rest;
        m_list.set(vm, {.domain = domain, .address = "127.0.0.1:" + port, .kind = kind});
    }

    void writeTicket(unsigned number)
    {
        const std::string version = std::to_string(number);
        const Digest root = m_store.addVersion("frost", version, VersionBytes, ChunkBytes, number);
        const json ticket{{"number", number},
                          {"scopes",
                           {{{"workspace", "*"},
                             {"role", "forecast"},
                             {"model", "frost"},
                             {"version", version},
                             {"manifest", toHex(root)},
                             {"vms", m_targets}}}}};
        std::ofstream(path("ticket-" + version + ".json")) << ticket.dump(2) << "\n";
    }

    PlatformOptions m_options;
    LogStandIn m_log{1};
    VmListStandIn m_list{2};
    WeightStoreStandIn m_store{3};
    std::vector<std::unique_ptr<EngineStandIn>> m_engines;
    std::vector<std::string> m_targets;
    unsigned m_entries = 0;
    std::string m_addresses;
};

} // namespace

int runPlatform(int argc, char **argv)
{
    cxxopts::Options options("ibislock-lab platform",
                             "Starts stand-ins of the platform and of engines, for trying the product by hand.");
    auto add = options.add_options();
    add("directory", "where settings, tickets and addresses go", cxxopts::value<std::string>());
    add("domains", "failure domains", cxxopts::value<unsigned>()->default_value("1"));
    add("entries", "entry VMs in each", cxxopts::value<unsigned>()->default_value("1"));
    add("targets", "target VMs in each", cxxopts::value<unsigned>()->default_value("2"));
    add("help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0 || parsed.count("directory") == 0) {
        std::cout << options.help() << "\n";
        return parsed.count("help") != 0 ? 0 : 2;
    }
    startLogging(LogLevel::Warning);
    asio::io_context io;
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([](const asio::error_code &, int) {});
    const auto directory = parsed["directory"].as<std::string>();
    std::filesystem::create_directories(directory);
    Platform platform({.directory = directory,
                       .domains = parsed["domains"].as<unsigned>(),
                       .entriesPerDomain = parsed["entries"].as<unsigned>(),
                       .targetsPerDomain = parsed["targets"].as<unsigned>()});
    platform.writeAll();
    std::cout << "the platform is up; settings, tickets and addresses are in " << directory << std::endl;
    io.run();
    return 0;
}

} // namespace ibislock::lab
