// Admission control: decides whether a request is sent to a target now, waits for a slot, or is refused. Under
// overload, a caller is refused at once when waiting would only make its response late; a short wait bridges the time
// until the next slot is free. Waiting requests are ordered by priority; callers that come back after a refusal go
// before new ones, then those with the least slack.
//
//     AdmissionDecision decision = admit({.receivedAt = at, .latencyObjective = objective, .now = now}, placement);

#pragma once

#include "ibislock/serving/placement.h"

namespace ibislock::serving
{

/// Outcome of the admission check for a request.
enum class AdmissionDecision {
    Send, ///< Send it to the target of its placement.
    Wait, ///< Queue it until a slot is free.
    RefuseFull, ///< All targets are full, and the request can't wait any longer.
    RefuseBackingOff, ///< All targets have asked for a backoff that outlasts the time the request may wait.
    RefuseNotPermitted, ///< No target is listed in a region in which it may be served.
    RefuseNoTarget, ///< No target can serve it.
};

/// Limits for admission.
struct AdmissionPolicy
{
    /// Fraction of its latency objective that a request may wait, unless it is late before. With longer waits more
    /// responses are late above the capacity of a service whose requests have one priority.
    double maxWaitFraction = 0.25;
    /// The same for all but the least urgent requests of a service whose routes differ in priority: they are served
    /// first.
    double urgentWaitFraction = 0.5;
};

/// A request that is checked for admission.
struct AdmissionRequest
{
    Millis receivedAt{0};
    Millis latencyObjective{0}; ///< Latency objective of the route, counted from the caller's first attempt.
    Millis resumeWaitUntil{0}; ///< An aborted response may wait at least until then to be resumed; zero otherwise.
    bool late = false; ///< The first event can't meet the latency objective any more, as far as is expected.
    bool responseStarted = false; ///< The caller has received part of the response.
    bool urgentKind = false; ///< Routes of its service differ in priority, and its route isn't the least urgent.
    Millis now{0};
};

/// Decides whether a request is sent, waits or is refused.
/// @param placement where the request would be sent now.
AdmissionDecision admit(const AdmissionRequest &request, const Placement &placement,
                        const AdmissionPolicy &policy = {});

/// Position of a waiting request in the queue for free slots: lower ranks are served first.
struct WaitingRank
{
    int priority = 0;
    bool firstAttempt = true; ///< Callers that come back after a refusal are served first.
    Millis dueAt{0}; ///< When the request must be sent to be on time.
    std::uint64_t arrival = 0; ///< Sequence number of the request.

    auto operator<=>(const WaitingRank &) const = default;
};

} // namespace ibislock::serving
