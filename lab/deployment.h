// A deployment in one process: the product's real daemons against stand-ins, on loopback.
//
//     Deployment deployment({.domains = 3, .entriesPerDomain = 2, .targetsPerDomain = 4});
//     deployment.start();
//     Digest root = deployment.store().addVersion("frost", "1", 16 << 20, 1 << 20, 7);
//     deployment.fileTicket(deployment.ticketFor(1, "1", root));
//     deployment.waitUntilServing(root, Millis(10000));
//
// Each failure domain reaches the platform's log by a way of its own, so that a domain can be cut off.

#pragma once

#include "ibislock/entry/daemon.h"
#include "ibislock/standins/engine_stand_in.h"
#include "ibislock/standins/log_stand_in.h"
#include "ibislock/standins/service_stand_in.h"
#include "ibislock/standins/vm_list_stand_in.h"
#include "ibislock/standins/weight_store_stand_in.h"
#include "ibislock/target/daemon.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ibislock::lab
{

/// The credentials that a deployment accepts.
inline constexpr const char *CallerCredential = "lab-caller-credential";
inline constexpr const char *OperatorCredential = "lab-operator-credential";

/// What is deployed.
struct DeploymentOptions
{
    unsigned domains = 1;
    unsigned entriesPerDomain = 1;
    unsigned targetsPerDomain = 1;
    unsigned servicesPerDomain = 0; ///< Targets beside plain services, for the role `desk`.
    unsigned targets = 0; ///< In all, when the last domain has fewer; zero means no such limit.
    std::uint64_t seed = 1;
    standins::EngineStandInOptions engine;
    entry::EntryOptions entry; ///< Template; names, ports and platform are filled in.
    target::TargetOptions target; ///< Template; names, ports and platform are filled in.
};

/// An entry VM.
struct EntryVm
{
    std::string name;
    unsigned domain = 0;
    entry::EntryOptions options;
    std::unique_ptr<entry::Daemon> daemon; ///< Null while the VM is down.
};

/// A target VM. Its engine goes on when its daemon is down.
struct TargetVm
{
    std::string name;
    unsigned domain = 0;
    target::TargetOptions options;
    std::unique_ptr<standins::EngineStandIn> engine; ///< Null beside a plain service.
    std::unique_ptr<standins::ServiceStandIn> service; ///< Null beside an engine.
    std::unique_ptr<target::Daemon> daemon; ///< Null while the VM is down.
};

/// Stand-ins and daemons.
class Deployment
{
public:
    explicit Deployment(DeploymentOptions options);
    ~Deployment();

    /// Starts every daemon.
    void start();

    /// Stops every daemon, gracefully.
    void stop();

    std::vector<EntryVm> &entries();
    std::vector<TargetVm> &targets();
    std::vector<TargetVm> &services();
    standins::LogStandIn &log();
    standins::VmListStandIn &vmList();
    standins::WeightStoreStandIn &store();

    /// Starts or stops one VM's daemon. A restarted one keeps its address and nothing else.
    void startEntry(EntryVm &vm);
    void stopEntry(EntryVm &vm);
    void startTarget(TargetVm &vm);
    void stopTarget(TargetVm &vm);

    /// Ends one VM's daemon as a crash would.
    void killEntry(EntryVm &vm);
    void killTarget(TargetVm &vm);

    /// Cuts domains off from the others and from the platform; an empty set heals all.
    void cutOff(const std::set<unsigned> &domains);

    /// Makes the log refuse every call, on all ways to it; a domain that is cut off stays cut off afterwards.
    void setLogOutage(bool outage);

    /// Sets faults of all ways to the log.
    void setLogDelay(Millis delay);
    void setLostLogAnswers(double probability);

    /// Gives the way by which a domain reaches the log.
    std::string logUrlOf(unsigned domain) const;

    /// Gives the URLs of the callers' interfaces of the entry VMs that are up.
    std::vector<std::string> callerUrls() const;

    /// Gives the URLs of the administration interfaces of the entry VMs that are up.
    std::vector<std::string> administrationUrls() const;

    /// Builds a ticket that puts a version on all targets for one role of every workspace.
    std::string ticketFor(std::uint64_t number, const std::string &version, const Digest &root) const;

    /// Files a ticket through any entry VM, and again until the outcome is known.
    /// @return whether it was accepted within the time.
    bool fileTicket(const std::string &ticket, Millis timeout = Millis(10000)) const;

    /// Waits until the engines of all targets that are up serve some weights.
    /// @return the time it took, or nothing.
    std::optional<Millis> waitUntilServing(const Digest &root, Millis timeout) const;

private:
    TargetVm makeTarget(const std::string &name, unsigned domain) const;
    node::NodeOptions nodeOptions(const node::NodeOptions &base, const std::string &name, unsigned domain) const;
    bool mayAddTarget() const;
    void applyCut();
    void applyOutages();
    bool mayConnect(unsigned fromDomain, const std::string &address) const;

    DeploymentOptions m_options;
    standins::LogStandIn m_log;
    standins::VmListStandIn m_vmList;
    standins::WeightStoreStandIn m_store;
    std::vector<std::size_t> m_fronts;
    std::vector<EntryVm> m_entries;
    std::vector<TargetVm> m_targets;
    std::vector<TargetVm> m_services;
    std::map<std::string, unsigned> m_domainOfAddress;
    std::set<unsigned> m_cutOff;
    bool m_logOutage = false;
};

/// Gives a failure domain's name.
std::string domainName(unsigned domain);

} // namespace ibislock::lab
