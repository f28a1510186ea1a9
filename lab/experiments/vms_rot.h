// Staged pieces turn bad between their check and the load, while target daemons are stopped, engines answer reads
// slowly, or engines stand still as an order arrives. An engine must not make answers with a layer of which it took a
// piece that was missing, of another version, or bad for longer than is allowed.

#pragma once

#include "experiments/vms_deployment.h"

namespace ibislock::lab
{

/// Pieces of each version in this run.
constexpr int RotPieces = 64;

/// Target VMs in this run.
constexpr int RotTargets = 6;

/// Plays the run on a deployment that has started, and prints what came of it.
/// @return whether all is as it should be.
bool runRot(asio::io_context &loop, VmsDeployment &deployment, std::uint64_t seed);

} // namespace ibislock::lab
