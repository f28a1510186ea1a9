// A swarm of planners on a virtual clock, with deaths, lies and an origin that is silent for a while.

#pragma once

#include "ibislock/weights/planner.h"

#include <vector>

namespace ibislock::weights::testing
{

/// What happens in a simulation.
struct SimulationOptions
{
    unsigned vms = 6;
    unsigned domains = 1;
    bool domainsAreRegions = false;
    unsigned chunks = 24;
    Policy policy = Policy::Rendezvous;
    std::set<unsigned> dead; ///< VMs that die at `faultAt`.
    std::set<unsigned> liars; ///< VMs that send corrupt chunks.
    std::set<unsigned> stalled; ///< VMs that answer no call for chunks from `faultAt` on.
    Millis faultAt{300};
    Millis originSilentUntil{0};
    std::uint64_t seed = 1;
};

/// What came of it.
struct SimulationResult
{
    bool isComplete = false; ///< Every VM that is live and not stalled has every chunk.
    std::size_t originDraws = 0;
    std::size_t asksOfDead = 0; ///< Calls to dead VMs after their death was known.
    std::size_t asksOfLiars = 0;
    std::size_t importsTwice = 0; ///< Chunks that entered a region more than once.
};

/// Runs until every VM is complete or the time is up.
SimulationResult simulate(const SimulationOptions &options);

} // namespace ibislock::weights::testing
