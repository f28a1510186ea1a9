// Admission control: decides whether a request is sent to a target now, waits for a slot, or is refused. Under
// overload, a caller is refused at once when waiting would only make its response late; a short wait bridges the time
// until the next slot is free. Waiting requests are ordered by priority, then by arrival.
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
    double maxWaitFraction = 0.125; ///< Fraction of its latency objective that a request may wait; with longer waits,
                                    ///< most responses are late.
};

/// A request that is checked for admission.
struct AdmissionRequest
{
    Millis receivedAt{0};
    Millis latencyObjective{0}; ///< Latency objective of the route, counted from the caller's first attempt.
    Millis resumeWaitUntil{0}; ///< An aborted response may wait at least until then to be resumed; zero otherwise.
    bool late = false; ///< The response can't meet the latency objective any more.
    bool responseStarted = false; ///< The caller has received part of the response.
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
    std::uint64_t arrival = 0; ///< Sequence number of the request.

    auto operator<=>(const WaitingRank &) const = default;
};

} // namespace ibislock::serving
