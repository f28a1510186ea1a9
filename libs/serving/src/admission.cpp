#include "ibislock/serving/admission.h"

#include <algorithm>

namespace ibislock::serving
{

Admission admit(const AdmissionRequest &request, const Placement &placement, const AdmissionPolicy &policy)
{
    if (placement.target != nullptr) {
        return Admission::Send;
    }
    const bool paused = placement.reason == NoTarget::Paused;
    if (placement.reason != NoTarget::Full && !paused) {
        return Admission::RefuseNoTarget;
    }
    const auto wait = static_cast<std::int64_t>(static_cast<double>(request.goal.count()) * policy.waitPartOfGoal);
    const Millis until = std::max(request.receivedAt + Millis{wait}, request.waitUntil);
    const bool useful = !request.late || request.begun;
    if (paused) {
        return useful && placement.pausedUntil < until ? Admission::Wait : Admission::RefusePaused;
    }
    return useful && request.now < until ? Admission::Wait : Admission::RefuseFull;
}

} // namespace ibislock::serving
