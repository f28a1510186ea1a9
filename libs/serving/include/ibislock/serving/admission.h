// Decides whether a request goes to a target now, waits for a slot, or is refused. Answers the load that is asked for
// beyond what the targets can do: callers are told at once when waiting would only make their answers late, and a short
// wait bridges the time until the next slot is free. What waits goes by urgency, then by arrival.
//
//     Admission verdict = admit({.receivedAt = at, .goal = goal, .now = now}, placement);

#pragma once

#include "ibislock/serving/placement.h"

namespace ibislock::serving
{

/// What becomes of a request now.
enum class AdmissionDecision {
    Send, ///< To the target of its placement.
    Wait,
    RefuseFull, ///< All targets are full, and waiting is of no use.
    RefuseBackingOff, ///< All targets have asked for a pause that is longer than waiting is of use.
    RefuseNoTarget, ///< No target can serve it.
};

/// How requests are admitted.
struct AdmissionPolicy
{
    double maxWaitFraction = 0.125; ///< Part of its objective that a request may wait; longer makes most answers late.
};

/// A request that asks to be admitted.
struct AdmissionRequest
{
    Millis receivedAt{0};
    Millis latencyObjective{0}; ///< Objective of its route, from the caller's first try.
    Millis resumeWaitUntil{0}; ///< May wait at least until then, if it was broken off; zero otherwise.
    bool late = false; ///< Its answer can't be on time any more.
    bool responseStarted = false; ///< Its caller has part of the answer.
    Millis now{0};
};

/// Decides on a request.
/// @param placement where it would go now.
AdmissionDecision admit(const AdmissionRequest &request, const Placement &placement,
                        const AdmissionPolicy &policy = {});

/// How soon a waiting request gets a free slot: lower goes first.
struct WaitingRank
{
    int priority = 0;
    std::uint64_t arrival = 0; ///< Counts requests.

    auto operator<=>(const WaitingRank &) const = default;
};

} // namespace ibislock::serving
