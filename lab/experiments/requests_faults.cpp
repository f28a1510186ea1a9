#include "experiments/requests_faults.h"

#include <algorithm>
#include <array>

namespace ibislock::lab
{

namespace
{

constexpr Millis PauseBetweenEvents{300};
constexpr Millis RestartPause{700};
constexpr Millis StallTime{3000};
constexpr std::uint64_t ChunkBytes = 64 << 10;
constexpr std::uint64_t VersionBytes = 4 * ChunkBytes;

/// A fault's name and whether it takes a number.
struct FaultSpec
{
    std::string_view name;
    bool hasNumber = true;
};

constexpr std::array FaultSpecs{
    FaultSpec{"kill-target"},
    FaultSpec{"kill-entry"},
    FaultSpec{"stall"},
    FaultSpec{"lost-answers"},
    FaultSpec{"crossed"},
    FaultSpec{"duplicate"},
    FaultSpec{"partition"},
    FaultSpec{"rollout", false},
    FaultSpec{"leave"},
    FaultSpec{"stop"},
    FaultSpec{"stale-load"},
    FaultSpec{"gappy-events"},
    FaultSpec{"retry-storm", false},
};

} // namespace

bool addFault(FaultList &faults, const std::string &text)
{
    const auto equals = text.find('=');
    const std::string name = text.substr(0, equals);
    const auto spec =
        std::find_if(FaultSpecs.begin(), FaultSpecs.end(), [&](const FaultSpec &it) { return it.name == name; });
    if (spec == FaultSpecs.end() || spec->hasNumber != (equals != std::string::npos)) {
        return false;
    }
    char *end = nullptr;
    const std::string number = spec->hasNumber ? text.substr(equals + 1) : "1";
    const double value = std::strtod(number.c_str(), &end);
    if (number.empty() || *end != '\0' || value < 0) {
        return false;
    }
    faults[name] = value;
    return true;
}

void applyToOptions(const FaultList &faults, DeploymentOptions &options)
{
    const auto stale = faults.find("stale-load");
    if (stale == faults.end()) {
        return;
    }
    const auto lag = Millis(static_cast<std::int64_t>(stale->second * 1000));
    for (node::NodeOptions *node : {&options.entry.node, &options.target.node}) {
        node->gossipInterval = std::max(lag, Millis(1));
        node->view.reportLifetime += 4 * lag;
    }
}

FaultDriver::FaultDriver(Deployment &deployment, Balancer &balancer, FaultList faults)
    : m_deployment(deployment)
    , m_balancer(balancer)
    , m_faults(std::move(faults))
{
}

double FaultDriver::number(std::string_view name) const
{
    const auto it = m_faults.find(name);
    return it == m_faults.end() ? 0 : it->second;
}

std::size_t FaultDriver::count(std::string_view name) const
{
    return static_cast<std::size_t>(number(name));
}

const FaultTrace &FaultDriver::trace() const
{
    return m_trace;
}

void FaultDriver::begin()
{
    setLasting(true);
}

void FaultDriver::end()
{
    setLasting(false);
}

void FaultDriver::setLasting(bool on)
{
    const auto probability = [&](std::string_view name) {
        return on ? number(name) : 0;
    };
    for (TargetVm &vm : m_deployment.targets()) {
        vm.engine->faults().lostAnswers = probability("lost-answers");
        vm.engine->setCrossed(probability("crossed"));
        vm.engine->setDuplicate(probability("duplicate"));
        vm.engine->setGappyEvents(probability("gappy-events"));
    }
    for (TargetVm &vm : m_deployment.services()) {
        vm.service->faults().lostAnswers = probability("lost-answers");
    }
}

void FaultDriver::runEvents()
{
    auto &targets = m_deployment.targets();
    for (std::size_t i = 0; i < std::min(count("stall"), targets.size()); ++i) {
        targets[targets.size() - 1 - i].engine->stall(StallTime);
    }
    kill();
    leave();
    stopTargets();
    stopEntry();
    partition();
    rollout();
}

void FaultDriver::kill()
{
    auto &targets = m_deployment.targets();
    for (std::size_t i = 0; i < std::min(count("kill-target"), targets.size()); ++i) {
        m_deployment.killTarget(targets[i]);
        std::this_thread::sleep_for(RestartPause);
        m_deployment.startTarget(targets[i]);
        if (i < m_deployment.services().size()) {
            m_deployment.killTarget(m_deployment.services()[i]);
            std::this_thread::sleep_for(RestartPause);
            m_deployment.startTarget(m_deployment.services()[i]);
        }
    }
    auto &entries = m_deployment.entries();
    for (std::size_t i = 0; i < std::min(count("kill-entry"), entries.size() - 1); ++i) {
        m_deployment.killEntry(entries[i]);
        std::this_thread::sleep_for(PauseBetweenEvents);
        m_balancer.set(m_deployment.callerUrls());
        std::this_thread::sleep_for(RestartPause);
        m_deployment.startEntry(entries[i]);
        std::this_thread::sleep_for(RestartPause);
        m_balancer.set(m_deployment.callerUrls());
    }
}

void FaultDriver::leave()
{
    auto &targets = m_deployment.targets();
    for (std::size_t i = 0; i < std::min(count("leave"), targets.size() - 1); ++i) {
        TargetVm &vm = targets[targets.size() - 1 - i];
        const std::string address = "127.0.0.1:" + std::to_string(vm.options.rpcPort);
        m_deployment.vmList().set(
            vm.name, {.domain = domainName(vm.domain), .address = address, .kind = "target", .leaving = true});
        m_trace.left.emplace_back(targets.size() - 1 - i, steadyMillis());
    }
}

void FaultDriver::stopTargets()
{
    auto &targets = m_deployment.targets();
    for (std::size_t i = 0; i < std::min(count("stop"), targets.size() - 1); ++i) {
        TargetVm &vm = targets[i];
        vm.daemon->stop();
        m_trace.cutByStop += vm.daemon->counters().value(Counter::RequestsCutByStop);
        m_deployment.stopTarget(vm);
        std::this_thread::sleep_for(PauseBetweenEvents);
    }
}

void FaultDriver::stopEntry()
{
    auto &entries = m_deployment.entries();
    if (count("stop") == 0 || entries.size() < 2) {
        return;
    }
    EntryVm &vm = entries.back();
    const std::string url = "http://127.0.0.1:" + std::to_string(vm.daemon->callersPort());
    m_trace.stoppedEntries.push_back(url);
    m_balancer.remove(url);
    vm.daemon->stop();
    m_trace.cutByStop += vm.daemon->counters().value(Counter::RequestsCutByStop);
    m_deployment.stopEntry(vm);
}

void FaultDriver::partition()
{
    if (number("partition") <= 0) {
        return;
    }
    m_deployment.cutOff({0});
    std::this_thread::sleep_for(std::chrono::duration<double>(number("partition")));
    m_deployment.cutOff({});
}

void FaultDriver::rollout()
{
    if (count("rollout") == 0) {
        return;
    }
    const Digest root = m_deployment.store().addVersion("frost", "2", VersionBytes, ChunkBytes, 2);
    m_trace.ok = m_deployment.fileTicket(m_deployment.ticketFor(2, "2", root)) && m_trace.ok;
    m_deployment.waitUntilServing(root, Millis(10000));
}

} // namespace ibislock::lab
