// Replays the distribution of versions on a virtual clock while the origin is unreachable for some time, with VMs that
// die, and with a domain that is isolated from the others.

#pragma once

#include "ibislock/weights/origin_turns.h"

#include <optional>
#include <set>

namespace ibislock::weights::testing
{

/// The time of the first step of a replay.
inline constexpr Millis FirstStep{20};

/// How long a VM's link takes for a piece: of 49,152 bytes at 9.4 Mbit/s.
inline constexpr Millis LinkTime{42};

/// How requests to the origin fail while it is unreachable.
enum class OriginFault { Refused, Hanging };

/// The VMs and faults of a replay.
struct OriginSimulationOptions
{
    int vms = 58;
    int domains = 3;
    int pieces = 48;
    Millis pieceTime{44}; ///< On the origin's link.
    Millis outageAt{1000};
    Millis outageEnd{7000};
    OriginFault fault = OriginFault::Refused;
    std::optional<Millis> secondVersionAt; ///< When a second version is announced.
    /// All VMs restart at once, a part of the first version staged: pieces that any VM holds, and what each holds of
    /// these, in percent.
    int availablePercent = 0;
    int stagedPercent = 0;
    Millis startSpread{0}; ///< VMs learn of the first version within this time after the start.
    std::set<int> dead; ///< VMs that die at `deathAt`.
    Millis deathAt{2000};
    std::optional<Millis> replacedAt; ///< When the dead VMs are back, without pieces.
    std::set<int> cutOff; ///< VMs that don't reach the origin, but other VMs.
    std::set<int> late; ///< VMs that learn of a version 2.5 s after the others.
    int corruptEach = 0; ///< One in so many responses of the origin is corrupt; 0 for none.
    std::optional<int> isolatedDomain; ///< A domain that reaches only the origin, from `isolatedAt` on.
    Millis isolatedAt{500};
    std::uint64_t seed = 1;
};

/// The outcome of a replay. Times count from the origin's recovery, or from the start without an outage.
struct OriginSimulationResult
{
    int missing = 0; ///< Pieces, of all versions, that no live VM held when the origin recovered.
    int missingOfOne = 0; ///< The most pieces of the first version that one VM lacked then.
    int sent = 0; ///< Pieces that the origin sent from then on.
    Millis firstComplete{0}; ///< When the first VM held the first version.
    Millis allComplete{0}; ///< When all live VMs held the first version; 0 for never.
    Millis firstSecond{0}; ///< The same for the second version.
    Millis allSecond{0};
    int maxAttempts = 0; ///< Largest number of attempts in a second while the origin was unreachable.
};

/// Runs a replay until every live VM is complete or 120 s have passed.
OriginSimulationResult simulateOrigin(const OriginSimulationOptions &options);

} // namespace ibislock::weights::testing
