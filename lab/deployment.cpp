#include "deployment.h"

#include "child_process.h"

#include <algorithm>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr Millis PollInterval{10};
constexpr unsigned SpareThreads = 8;
constexpr unsigned ConnectionsPerVm = 4;

} // namespace

std::string domainName(unsigned domain)
{
    return "domain" + std::to_string(domain + 1);
}

Deployment::Deployment(DeploymentOptions options)
    : m_options(std::move(options))
    , m_log(m_options.seed)
    , m_vmList(m_options.seed + 1,
               m_options.domains
                       * (m_options.entriesPerDomain + m_options.targetsPerDomain + m_options.servicesPerDomain)
                   + SpareThreads)
    , m_store(m_options.seed + 2, 3 * m_options.domains * m_options.targetsPerDomain + SpareThreads)
{
    m_log.start();
    m_vmList.start();
    m_store.start();
    const unsigned vmsPerDomain = m_options.entriesPerDomain + m_options.targetsPerDomain + m_options.servicesPerDomain;
    for (unsigned d = 0; d < m_options.domains; ++d) {
        // Each daemon keeps up to three connections: for reading, for appending and for confirming its lease.
        m_fronts.push_back(m_log.addFront(ConnectionsPerVm * vmsPerDomain + SpareThreads));
        for (unsigned i = 0; i < m_options.entriesPerDomain; ++i) {
            EntryVm vm{.name = "entry" + std::to_string(m_entries.size() + 1), .domain = d, .options = m_options.entry};
            vm.options.node = nodeOptions(m_options.entry.node, vm.name, d);
            vm.options.rpcPort = freePort();
            vm.options.callers.port = freePort();
            vm.options.administration.port = freePort();
            vm.options.callers.connectionsPerPeer = 0; // All callers of the lab have one IP number.
            security::addCaller(vm.options.credentials.keys, CallerCredential, "lab");
            security::addOperator(vm.options.credentials.keys, OperatorCredential,
                                  {.name = "lab-operator", .role = security::OperatorRole::File});
            m_entries.push_back(std::move(vm));
        }
        for (unsigned i = 0; i < m_options.targetsPerDomain && mayAddTarget(); ++i) {
            TargetVm vm = makeTarget("target" + std::to_string(m_targets.size() + 1), d);
            standins::EngineStandInOptions engineOptions = m_options.engine;
            engineOptions.seed = m_options.seed * 1000 + m_targets.size();
            vm.engine = std::make_unique<standins::EngineStandIn>(engineOptions);
            vm.engine->start();
            vm.options.engine.url = vm.engine->url();
            m_targets.push_back(std::move(vm));
        }
        for (unsigned i = 0; i < m_options.servicesPerDomain; ++i) {
            TargetVm vm = makeTarget("desk" + std::to_string(m_services.size() + 1), d);
            vm.options.backend = target::BackendKind::Service;
            vm.service = std::make_unique<standins::ServiceStandIn>(m_options.seed * 1000 + m_services.size());
            vm.service->start();
            vm.options.engine.url = vm.service->url();
            m_services.push_back(std::move(vm));
        }
    }
}

TargetVm Deployment::makeTarget(const std::string &name, unsigned domain) const
{
    TargetVm vm{.name = name, .domain = domain, .options = m_options.target};
    vm.options.node = nodeOptions(m_options.target.node, name, domain);
    vm.options.rpcPort = freePort();
    vm.options.store.url = m_store.url();
    return vm;
}

bool Deployment::mayAddTarget() const
{
    return m_options.targets == 0 || m_targets.size() < m_options.targets;
}

Deployment::~Deployment()
{
    stop();
}

node::NodeOptions Deployment::nodeOptions(const node::NodeOptions &base, const std::string &name, unsigned domain) const
{
    node::NodeOptions options = base;
    options.vm = name;
    options.domain = domainName(domain);
    options.log.url = m_log.frontUrl(m_fronts.at(domain));
    options.vmList.url = m_vmList.url();
    options.tls.mode = security::TlsMode::Plaintext;
    return options;
}

void Deployment::start()
{
    for (TargetVm &vm : m_targets) {
        startTarget(vm);
    }
    for (TargetVm &vm : m_services) {
        startTarget(vm);
    }
    for (EntryVm &vm : m_entries) {
        startEntry(vm);
    }
}

void Deployment::stop()
{
    std::vector<std::thread> stopping;
    for (EntryVm &vm : m_entries) {
        stopping.emplace_back([this, &vm] { stopEntry(vm); });
    }
    for (std::thread &thread : stopping) {
        thread.join();
    }
    stopping.clear();
    for (TargetVm &vm : m_targets) {
        stopping.emplace_back([this, &vm] { stopTarget(vm); });
    }
    for (TargetVm &vm : m_services) {
        stopping.emplace_back([this, &vm] { stopTarget(vm); });
    }
    for (std::thread &thread : stopping) {
        thread.join();
    }
}

std::vector<EntryVm> &Deployment::entries()
{
    return m_entries;
}

std::vector<TargetVm> &Deployment::targets()
{
    return m_targets;
}

std::vector<TargetVm> &Deployment::services()
{
    return m_services;
}

standins::LogStandIn &Deployment::log()
{
    return m_log;
}

standins::VmListStandIn &Deployment::vmList()
{
    return m_vmList;
}

standins::WeightStoreStandIn &Deployment::store()
{
    return m_store;
}

void Deployment::startEntry(EntryVm &vm)
{
    const std::string address = "127.0.0.1:" + std::to_string(vm.options.rpcPort);
    m_domainOfAddress[address] = vm.domain;
    m_vmList.set(vm.name, {.domain = domainName(vm.domain), .address = address, .kind = "entry"});
    vm.options.node.kind = membership::VmKind::Entry;
    vm.daemon = std::make_unique<entry::Daemon>(vm.options);
    const auto started = vm.daemon->start();
    if (!started) {
        throw std::runtime_error(started.error().message);
    }
    applyCut();
}

void Deployment::stopEntry(EntryVm &vm)
{
    vm.daemon.reset();
}

void Deployment::startTarget(TargetVm &vm)
{
    const std::string address = "127.0.0.1:" + std::to_string(vm.options.rpcPort);
    m_domainOfAddress[address] = vm.domain;
    m_vmList.set(vm.name, {.domain = domainName(vm.domain), .address = address, .kind = "target"});
    vm.options.node.kind = membership::VmKind::Target;
    vm.daemon = std::make_unique<target::Daemon>(vm.options);
    const auto started = vm.daemon->start();
    if (!started) {
        throw std::runtime_error(started.error().message);
    }
    applyCut();
}

void Deployment::stopTarget(TargetVm &vm)
{
    vm.daemon.reset();
}

void Deployment::killEntry(EntryVm &vm)
{
    vm.daemon->kill();
    vm.daemon.reset();
}

void Deployment::killTarget(TargetVm &vm)
{
    vm.daemon->kill();
    vm.daemon.reset();
}

void Deployment::cutOff(const std::set<unsigned> &domains)
{
    m_cutOff = domains;
    applyOutages();
    applyCut();
}

void Deployment::applyOutages()
{
    for (unsigned d = 0; d < m_options.domains; ++d) {
        m_log.frontFaults(m_fronts.at(d)).outage = m_logOutage || m_cutOff.contains(d);
    }
}

void Deployment::setLogOutage(bool outage)
{
    m_logOutage = outage;
    applyOutages();
}

void Deployment::setLogDelay(Millis delay)
{
    for (const std::size_t front : m_fronts) {
        m_log.frontFaults(front).delayMs = delay.count();
    }
}

void Deployment::setLostLogAnswers(double probability)
{
    for (const std::size_t front : m_fronts) {
        m_log.frontFaults(front).lostAnswers = probability;
    }
}

std::string Deployment::logUrlOf(unsigned domain) const
{
    return m_log.frontUrl(m_fronts.at(domain));
}

bool Deployment::mayConnect(unsigned fromDomain, const std::string &address) const
{
    const auto it = m_domainOfAddress.find(address);
    if (it == m_domainOfAddress.end() || it->second == fromDomain) {
        return true;
    }
    return !m_cutOff.contains(fromDomain) && !m_cutOff.contains(it->second);
}

void Deployment::applyCut()
{
    // Daemons get a copy, so that a later change here does not race with their event loops.
    const auto predicateFor = [this](unsigned domain) -> rpc::Reachable {
        if (m_cutOff.empty()) {
            return nullptr;
        }
        std::set<std::string> blocked;
        for (const auto &[address, other] : m_domainOfAddress) {
            if (!mayConnect(domain, address)) {
                blocked.insert(address);
            }
        }
        if (m_cutOff.contains(domain)) {
            blocked.insert(m_store.url());
        }
        return [blocked = std::move(blocked)](const std::string &address) {
            return !blocked.contains(address);
        };
    };
    for (EntryVm &vm : m_entries) {
        if (vm.daemon) {
            vm.daemon->setReachable(predicateFor(vm.domain));
        }
    }
    for (auto *vms : {&m_targets, &m_services}) {
        for (TargetVm &vm : *vms) {
            if (vm.daemon) {
                vm.daemon->setReachable(predicateFor(vm.domain));
            }
        }
    }
}

std::vector<std::string> Deployment::callerUrls() const
{
    std::vector<std::string> urls;
    for (const EntryVm &vm : m_entries) {
        if (vm.daemon) {
            urls.push_back("http://127.0.0.1:" + std::to_string(vm.daemon->callersPort()));
        }
    }
    return urls;
}

std::vector<std::string> Deployment::administrationUrls() const
{
    std::vector<std::string> urls;
    for (const EntryVm &vm : m_entries) {
        if (vm.daemon) {
            urls.push_back("http://127.0.0.1:" + std::to_string(vm.daemon->administrationPort()));
        }
    }
    return urls;
}

std::string Deployment::ticketFor(std::uint64_t number, const std::string &version, const Digest &root) const
{
    std::vector<std::string> vms;
    for (const TargetVm &vm : m_targets) {
        vms.push_back(vm.name);
    }
    json scopes = json::array({{{"workspace", "*"},
                                {"role", "forecast"},
                                {"model", "frost"},
                                {"version", version},
                                {"manifest", toHex(root)},
                                {"vms", vms}}});
    if (!m_services.empty()) {
        std::vector<std::string> desks;
        for (const TargetVm &vm : m_services) {
            desks.push_back(vm.name);
        }
        scopes.push_back({{"workspace", "*"}, {"role", "desk"}, {"model", "desk"}, {"version", "1"}, {"vms", desks}});
    }
    return json{{"number", number}, {"scopes", scopes}}.dump();
}

bool Deployment::fileTicket(const std::string &ticket, Millis timeout) const
{
    const Millis deadline = steadyMillis() + timeout;
    while (steadyMillis() < deadline) {
        for (const std::string &url : administrationUrls()) {
            httplib::Client client(url);
            client.set_bearer_token_auth(OperatorCredential);
            const auto result = client.Post("/v1/tickets", ticket, "application/json");
            if (result && result->status == 200) {
                return true;
            }
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return false;
}

std::optional<Millis> Deployment::waitUntilServing(const Digest &root, Millis timeout) const
{
    const Millis begin = steadyMillis();
    while (steadyMillis() - begin < timeout) {
        const bool all = std::all_of(m_targets.begin(), m_targets.end(),
                                     [&](const TargetVm &vm) { return !vm.daemon || vm.engine->root() == root; });
        if (all) {
            return steadyMillis() - begin;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return std::nullopt;
}

} // namespace ibislock::lab
