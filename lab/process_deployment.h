// A deployment of real processes: stand-ins in this process, settings in a directory, and one product process for each
// VM, which can be stopped or killed and started again.
//
//     ProcessDeployment deployment({.binary = "ibislock", .directory = "run", .domains = 3});
//     deployment.startAll();
//     Digest root = deployment.addVersion(1);
//     deployment.fileTicket(1, root, Millis(10000));
//     deployment.vms()[0].process->kill();
//     deployment.start(deployment.vms()[0]);

#pragma once

#include "child_process.h"

#include "ibislock/standins/engine_stand_in.h"
#include "ibislock/standins/log_stand_in.h"
#include "ibislock/standins/vm_list_stand_in.h"
#include "ibislock/standins/weight_store_stand_in.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ibislock::lab
{

/// The credentials that the processes accept.
inline constexpr const char *ProcessCallerCredential = "lab-caller-credential";
inline constexpr const char *ProcessOperatorCredential = "lab-operator-credential";

/// What is deployed.
struct ProcessDeploymentOptions
{
    std::string binary; ///< The product; needed to start processes only.
    std::string directory; ///< Where settings and logs go.
    unsigned domains = 1;
    unsigned entriesPerDomain = 1;
    unsigned targetsPerDomain = 1;
    std::uint64_t versionBytes = 8ULL << 20;
    std::uint64_t chunkBytes = 1ULL << 20;
    unsigned callerThreads = 32; ///< Of each entry process.
    std::string callerSettings; ///< Further lines of the section `callers` of each entry process.
    std::string administrationSettings; ///< Further lines of the section `administration` of each entry process.
    std::string rpcSettings; ///< Further lines of the section `rpc` of each process.
    unsigned descriptorsMax = 0; ///< The system's limit for each process; zero leaves it as it is.
};

/// One VM: an entry, or a target with its engine.
struct ProcessVm
{
    std::string name;
    std::string domain;
    bool isEntry = false;
    std::string callersUrl; ///< Of an entry.
    std::string administrationUrl; ///< Of an entry.
    std::uint16_t rpcPort = 0;
    std::unique_ptr<standins::EngineStandIn> engine; ///< Of a target. It goes on when the process is down.
    std::optional<ChildProcess> process; ///< Nothing while the VM is down.
};

/// Stand-ins and processes.
class ProcessDeployment
{
public:
    /// Starts the stand-ins and writes one settings file for each VM.
    explicit ProcessDeployment(ProcessDeploymentOptions options);

    void start(ProcessVm &vm);
    void startAll();

    /// Stops every process as an operator would.
    /// @return whether all ended with success.
    bool stopAll();

    std::vector<ProcessVm> &vms();
    standins::LogStandIn &log();
    standins::VmListStandIn &vmList();
    standins::WeightStoreStandIn &store();

    /// Adds a version of the model to the store.
    Digest addVersion(unsigned version);

    /// Builds a ticket that puts a version on all targets.
    std::string ticketFor(unsigned number, const Digest &root) const;

    /// Files a ticket through any entry, and again until it is accepted.
    bool fileTicket(unsigned number, const Digest &root, Millis timeout) const;

    /// Waits until the engines of all targets serve some weights.
    /// @return the time it took, or nothing.
    std::optional<Millis> waitUntilServing(const Digest &root, Millis timeout) const;

    /// Gives the URLs of the callers' interfaces of all entries, up or not.
    std::vector<std::string> callerUrls() const;

    /// Gives the path of a file in the deployment's directory.
    std::string path(const std::string &name) const;

private:
    void addEntry(const std::string &name, const std::string &domain);
    void addTarget(const std::string &name, const std::string &domain);
    void writeSettings(ProcessVm &vm, const std::string &rest);

    ProcessDeploymentOptions m_options;
    standins::LogStandIn m_log{1};
    standins::VmListStandIn m_vmList{2};
    standins::WeightStoreStandIn m_store{3};
    std::vector<ProcessVm> m_vms;
};

} // namespace ibislock::lab
