#include "process_deployment.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr Millis PollInterval{20};
constexpr unsigned ChunkMemoryMib = 128;

std::string loopback(unsigned short port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

ProcessDeployment::ProcessDeployment(ProcessDeploymentOptions options)
    : m_options(std::move(options))
{
    std::filesystem::create_directories(m_options.directory);
    m_log.start();
    m_vmList.start();
    m_store.start();
    for (unsigned d = 0; d < m_options.domains; ++d) {
        const std::string domain = "domain" + std::to_string(d + 1);
        for (unsigned i = 0; i < m_options.entriesPerDomain; ++i) {
            addEntry("entry" + std::to_string(d * m_options.entriesPerDomain + i + 1), domain);
        }
        for (unsigned i = 0; i < m_options.targetsPerDomain; ++i) {
            addTarget("target" + std::to_string(d * m_options.targetsPerDomain + i + 1), domain);
        }
    }
}

void ProcessDeployment::addEntry(const std::string &name, const std::string &domain)
{
    const auto callers = freePort();
    const auto administration = freePort();
    ProcessVm vm{.name = name,
                 .domain = domain,
                 .isEntry = true,
                 .callersUrl = "http://" + loopback(callers),
                 .administrationUrl = "http://" + loopback(administration)};
    writeSettings(
        vm,
        "\n[callers]\nport = " + std::to_string(callers) + "\nthreads = " + std::to_string(m_options.callerThreads)
            + "\n" + m_options.callerSettings + "\n[administration]\nport = " + std::to_string(administration) + "\n"
            + m_options.administrationSettings + "\n[workspaces]\nsteppe = " + ProcessCallerCredential
            + "\n\n[operators]\noperator = " + ProcessOperatorCredential + "\n\n[operator_roles]\noperator = file\n");
    m_vms.push_back(std::move(vm));
}

void ProcessDeployment::addTarget(const std::string &name, const std::string &domain)
{
    ProcessVm vm{.name = name, .domain = domain};
    vm.engine = std::make_unique<standins::EngineStandIn>(standins::EngineStandInOptions{.seed = m_vms.size() + 1});
    vm.engine->start();
    writeSettings(vm,
                  "\n[backend]\nurl = " + vm.engine->url() + "\n\n[weights]\nstore_url = " + m_store.url()
                      + "\nmemory_mib = " + std::to_string(ChunkMemoryMib) + "\n");
    m_vms.push_back(std::move(vm));
}

void ProcessDeployment::writeSettings(ProcessVm &vm, const std::string &rest)
{
    const std::string kind = vm.isEntry ? "entry" : "target";
    vm.rpcPort = freePort();
    std::ofstream(path(vm.name + ".ini"))
        << "[process]\nkind = " << kind << "\n\n[vm]\nname = " << vm.name << "\nfailure_domain = " << vm.domain
        << "\n\n[tls]\nmode = plaintext\n\n[rpc]\nport = " << vm.rpcPort << "\n"
        << m_options.rpcSettings << "\n[platform]\nlog_url = " << m_log.url() << "\nvm_list_url = " << m_vmList.url()
        << "\n"
        << rest;
    m_vmList.set(vm.name, {.domain = vm.domain, .address = loopback(vm.rpcPort), .kind = kind});
}

void ProcessDeployment::start(ProcessVm &vm)
{
    std::vector<std::string> arguments{m_options.binary, vm.isEntry ? "entry" : "target", "--settings",
                                       path(vm.name + ".ini")};
    if (m_options.descriptorsMax != 0) {
        const std::string limit = "ulimit -n " + std::to_string(m_options.descriptorsMax);
        arguments.insert(arguments.begin(), {"/bin/sh", "-c", limit + R"( && exec "$0" "$@")"});
    }
    vm.process.emplace(arguments, path(vm.name + ".log"));
}

void ProcessDeployment::startAll()
{
    for (ProcessVm &vm : m_vms) {
        start(vm);
    }
}

bool ProcessDeployment::stopAll()
{
    for (const ProcessVm &vm : m_vms) {
        if (vm.process) {
            vm.process->signal(SIGTERM);
        }
    }
    bool clean = true;
    for (ProcessVm &vm : m_vms) {
        clean = (!vm.process || vm.process->stop() == 0) && clean;
        vm.process.reset();
    }
    return clean;
}

std::vector<ProcessVm> &ProcessDeployment::vms()
{
    return m_vms;
}

standins::LogStandIn &ProcessDeployment::log()
{
    return m_log;
}

standins::VmListStandIn &ProcessDeployment::vmList()
{
    return m_vmList;
}

standins::WeightStoreStandIn &ProcessDeployment::store()
{
    return m_store;
}

Digest ProcessDeployment::addVersion(unsigned version)
{
    return m_store.addVersion("frost", std::to_string(version), m_options.versionBytes, m_options.chunkBytes, version);
}

std::string ProcessDeployment::ticketFor(unsigned number, const Digest &root) const
{
    json targets = json::array();
    for (const ProcessVm &vm : m_vms) {
        if (!vm.isEntry) {
            targets.push_back(vm.name);
        }
    }
    return json{{"number", number},
                {"scopes",
                 {{{"workspace", "*"},
                   {"role", "forecast"},
                   {"model", "frost"},
                   {"version", std::to_string(number)},
                   {"manifest", toHex(root)},
                   {"vms", targets}}}}}
        .dump(2);
}

bool ProcessDeployment::fileTicket(unsigned number, const Digest &root, Millis timeout) const
{
    const std::string ticket = ticketFor(number, root);
    const Millis deadline = steadyMillis() + timeout;
    while (steadyMillis() < deadline) {
        for (const ProcessVm &vm : m_vms) {
            if (!vm.isEntry) {
                continue;
            }
            httplib::Client client(vm.administrationUrl);
            client.set_bearer_token_auth(ProcessOperatorCredential);
            const auto reply = client.Post("/v1/tickets", ticket, "application/json");
            if (reply && reply->status == 200) {
                return true;
            }
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return false;
}

std::optional<Millis> ProcessDeployment::waitUntilServing(const Digest &root, Millis timeout) const
{
    const Millis begin = steadyMillis();
    while (steadyMillis() - begin < timeout) {
        const bool all = std::all_of(m_vms.begin(), m_vms.end(),
                                     [&](const ProcessVm &vm) { return vm.isEntry || vm.engine->root() == root; });
        if (all) {
            return steadyMillis() - begin;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return std::nullopt;
}

std::vector<std::string> ProcessDeployment::callerUrls() const
{
    std::vector<std::string> urls;
    for (const ProcessVm &vm : m_vms) {
        if (vm.isEntry) {
            urls.push_back(vm.callersUrl);
        }
    }
    return urls;
}

std::string ProcessDeployment::path(const std::string &name) const
{
    return m_options.directory + "/" + name;
}

} // namespace ibislock::lab
