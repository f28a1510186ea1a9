// Simulates the transfer of a version to many VMs on a virtual clock, with dead and stalled VMs, VMs that send corrupt
// chunks, and an origin outage.

#pragma once

#include "ibislock/weights/planner.h"

#include <vector>

namespace ibislock::weights::testing
{

/// The VMs and faults of a simulation.
struct SimulationOptions
{
    unsigned vms = 6;
    unsigned domains = 1;
    bool domainsAreRegions = false;
    unsigned chunks = 24;
    Policy policy = Policy::Rendezvous;
    std::set<unsigned> dead; ///< VMs that die at `faultAt`.
    std::set<unsigned> liars; ///< VMs that send corrupt chunks.
    std::set<unsigned> stalled; ///< VMs that respond to no request for chunks from `faultAt` on.
    Millis faultAt{300};
    Millis originSilentUntil{0};
    std::uint64_t seed = 1;
};

/// The outcome of a simulation.
struct SimulationResult
{
    bool isComplete = false; ///< Every VM that is live and not stalled has every chunk.
    std::size_t originDraws = 0;
    std::size_t asksOfDead = 0; ///< Requests to VMs that were already known to be dead.
    std::size_t asksOfLiars = 0;
    std::size_t importsTwice = 0; ///< Chunks that entered a region more than once.
};

/// Runs a simulation until every VM is complete or its time limit is reached.
SimulationResult simulate(const SimulationOptions &options);

} // namespace ibislock::weights::testing
