// The ways of admitting and placing requests that are compared by replays. The first is the one that the product uses.

#pragma once

#include "ibislock/serving/admission.h"

#include <span>
#include <string_view>

namespace ibislock::lab
{

/// A way.
struct LoadPolicy
{
    std::string_view name;
    std::string_view what;
    serving::AdmissionPolicy admission;
    serving::PlacementPolicy placement;
    Millis unseen{60}; ///< A report doesn't show requests that were sent less than this before it arrived.
    bool countsPrompts = true; ///< Backlogs of prompts are estimated.
    bool refusesLate = true; ///< Requests that can't be on time may not take the last slots.
    bool reserves = true; ///< The last slots are left to more urgent kinds, and engines admit these first.
    bool foresees =
        true; ///< A request is late when its first event can't be on time, not when its objective has passed.
    bool ordersBySlack = true; ///< Returned callers and requests with little slack go first.
    bool sharesByWorkspace = true; ///< Heavy workspaces leave the last slots to others.
    bool contends = true; ///< Free slots are left to other entry VMs under contention.
};

/// All of them.
std::span<const LoadPolicy> loadPolicies();

/// @return the policy, or null.
const LoadPolicy *findPolicy(std::string_view name);

} // namespace ibislock::lab
