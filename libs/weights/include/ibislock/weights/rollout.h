// Decides when a VM may drain in a rollout, so that a minimum fraction of the role's VMs keeps serving.
//
// The VMs of a role are updated in a fixed order. A VM may drain when fewer VMs before it are being updated than may be
// unavailable at the same time. VMs that are down or stalled don't block the others.

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <span>
#include <string>

namespace ibislock::weights
{

/// The state of one VM of a role in a rollout.
struct RolloutMember
{
    std::string vm;
    bool isLive = false;
    bool isUpdated = false; ///< Whether it serves the new version.
    bool isServing = false; ///< Whether it serves requests, with any version.
    bool isStalled = false; ///< Whether it has made no progress for the stall timeout.
};

/// Limits of a rollout.
struct RolloutOptions
{
    Millis stallTimeout{30000}; ///< How long a VM may stay in one state before it counts as stalled.
    double minServingFraction = 0.7; ///< Fraction of the role's VMs that must keep serving.
};

/// Returns how many VMs of a role may be unavailable at the same time; at least one.
/// @param members the number of the role's VMs.
std::size_t maxUnavailable(std::size_t members, const RolloutOptions &options);

/// Returns whether a VM may drain now.
/// @param members every VM of the role, in the rollout's order.
/// @param self the VM that is to drain.
bool mayDrain(std::span<const RolloutMember> members, const std::string &self, const RolloutOptions &options);

} // namespace ibislock::weights
