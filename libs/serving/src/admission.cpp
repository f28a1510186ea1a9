#include "ibislock/serving/admission.h"

#include <algorithm>

namespace ibislock::serving
{

AdmissionDecision admit(const AdmissionRequest &request, const Placement &placement, const AdmissionPolicy &policy)
{
    if (placement.target != nullptr) {
        return AdmissionDecision::Send;
    }
    if (placement.reason == PlacementFailure::NotPermitted) {
        return AdmissionDecision::RefuseNotPermitted;
    }
    const bool backingOff = placement.reason == PlacementFailure::BackingOff;
    if (placement.reason != PlacementFailure::Full && !backingOff) {
        return AdmissionDecision::RefuseNoTarget;
    }
    const double fraction =
        request.urgentKind ? std::max(policy.maxWaitFraction, policy.urgentWaitFraction) : policy.maxWaitFraction;
    const auto maxWaitMs = static_cast<std::int64_t>(static_cast<double>(request.latencyObjective.count()) * fraction);
    const Millis until = std::max(request.receivedAt + Millis{maxWaitMs}, request.resumeWaitUntil);
    const bool worthWaiting = !request.late || request.responseStarted;
    if (backingOff) {
        return worthWaiting && placement.backoffUntil < until ? AdmissionDecision::Wait
                                                              : AdmissionDecision::RefuseBackingOff;
    }
    return worthWaiting && request.now < until ? AdmissionDecision::Wait : AdmissionDecision::RefuseFull;
}

} // namespace ibislock::serving
