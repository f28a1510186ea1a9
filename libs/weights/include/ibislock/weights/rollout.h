// When a VM may leave the old version in a rollout, so that the role keeps a floor of serving VMs.
//
// The VMs of a role move in a fixed order. A VM may drain when fewer VMs before it are still on the way than the role
// can spare. A VM that is not there does not hold up the others, nor does one that has made no progress for a while.

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <span>
#include <string>

namespace ibislock::weights
{

/// How far one VM of a role is.
struct RolloutMember
{
    std::string vm;
    bool isLive = false;
    bool isUpdated = false; ///< Serves the new version.
    bool isServing = false; ///< Answers requests, with any version.
    bool isStalled = false; ///< Has not moved for the rollout's patience.
};

/// Limits of a rollout.
struct RolloutOptions
{
    Millis stallTimeout{30000}; ///< How long a VM may stay in one state before others pass it.
    double minServingFraction = 0.7; ///< The share of the role's VMs that keeps serving.
};

/// Gives how many VMs of a role may be out of service at the same time; at least one.
std::size_t maxUnavailable(std::size_t members, const RolloutOptions &options);

/// Tells whether a VM may drain now.
/// @param members every VM of the role, in the rollout's order.
/// @param self the VM that asks.
bool mayDrain(std::span<const RolloutMember> members, const std::string &self, const RolloutOptions &options);

} // namespace ibislock::weights
