// The faults of the requests experiment. Any of them may be combined.

#pragma once

#include "deployment.h"
#include "load/balancer.h"

#include <map>

namespace ibislock::lab
{

/// Faults by name, with their number.
using FaultList = std::map<std::string, double, std::less<>>;

/// Reads `NAME` or `NAME=X`.
/// @return false for a name that does not exist or a number that is missing.
bool addFault(FaultList &faults, const std::string &text);

/// Sets faults that hold for a whole run on the options of a deployment.
void applyToOptions(const FaultList &faults, DeploymentOptions &options);

/// What the planned faults left behind.
struct FaultTrace
{
    std::vector<std::string> stoppedEntries; ///< URLs of entry VMs that were stopped as planned.
    std::vector<std::pair<std::size_t, Millis>> left; ///< Targets that left, and when.
    std::uint64_t cutByStop = 0; ///< Requests that stopped daemons did not wait for.
    bool ok = true; ///< Whether every step worked.
};

/// Brings faults about on a running deployment.
class FaultDriver
{
public:
    FaultDriver(Deployment &deployment, Balancer &balancer, FaultList faults);

    /// Starts the faults that hold on: lost, crossed and duplicate answers, gaps.
    void begin();

    /// Ends the faults that hold on.
    void end();

    /// Brings the events about: kills, stops, leaves, stalls, a partition, a rollout. Blocks until they are over.
    void runEvents();

    const FaultTrace &trace() const;

private:
    void setLasting(bool on);
    double number(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    void stopTargets();
    void stopEntry();
    void leave();
    void kill();
    void partition();
    void rollout();

    Deployment &m_deployment;
    Balancer &m_balancer;
    FaultList m_faults;
    FaultTrace m_trace;
};

} // namespace ibislock::lab
