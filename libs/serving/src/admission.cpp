#include "ibislock/serving/admission.h"

#include <algorithm>

namespace ibislock::serving
{

AdmissionDecision admit(const AdmissionRequest &request, const Placement &placement, const AdmissionPolicy &policy)
{
    if (placement.target != nullptr) {
        return AdmissionDecision::Send;
    }
    const bool paused = placement.reason == PlacementFailure::BackingOff;
    if (placement.reason != PlacementFailure::Full && !paused) {
        return AdmissionDecision::RefuseNoTarget;
    }
    const auto wait =
        static_cast<std::int64_t>(static_cast<double>(request.latencyObjective.count()) * policy.maxWaitFraction);
    const Millis until = std::max(request.receivedAt + Millis{wait}, request.resumeWaitUntil);
    const bool useful = !request.late || request.responseStarted;
    if (paused) {
        return useful && placement.backoffUntil < until ? AdmissionDecision::Wait : AdmissionDecision::RefuseBackingOff;
    }
    return useful && request.now < until ? AdmissionDecision::Wait : AdmissionDecision::RefuseFull;
}

} // namespace ibislock::serving
