#include "ibislock/serving/admission.h"

#include <algorithm>

namespace ibislock::serving
{

Admission admit(const AdmissionRequest &request, const Placement &placement, const AdmissionPolicy &policy)
{
    if (placement.target != nullptr) {
        return Admission::Send;
    }
    if (placement.reason != NoTarget::Full) {
        return Admission::RefuseNoTarget;
    }
    const auto wait = static_cast<std::int64_t>(static_cast<double>(request.goal.count()) * policy.waitPartOfGoal);
    const Millis until = std::max(request.receivedAt + Millis{wait}, request.waitUntil);
    const bool useful = !request.late || request.begun;
    return useful && request.now < until ? Admission::Wait : Admission::RefuseFull;
}

} // namespace ibislock::serving
