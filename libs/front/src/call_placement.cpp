// What a call contributes to the choice of its target, and what it keeps of it for logs and counters.

#include "call.h"

namespace ibislock::front
{

void Call::updateResidency()
{
    const serving::DesiredState *state = front.operators.state.get();
    if (state == nullptr || m_residencyVersion == state->version) {
        return;
    }
    m_residencyVersion = state->version;
    residency = residencyOf(*state, {.route = route.name, .workspace = workspace}, residency);
}

serving::PlacementDomains Call::domains() const
{
    return {
        .residency = &residency, .regions = &front.settings.regions, .evacuated = &front.operators.evacuations.active};
}

void Call::recordPlacement(const serving::Placement &placement)
{
    m_placementFailure = placement.reason;
    m_targetsOutsideRegions = placement.outsideRegions;
    m_targetsEvacuated = placement.evacuated;
    front.counters.choicesOutsideRegions += placement.outsideRegions > 0 ? 1 : 0;
    front.counters.choicesEvacuated += placement.evacuated > 0 ? 1 : 0;
}

std::string Call::regionsText() const
{
    if (!isRestricted(residency)) {
        return "any";
    }
    std::string out;
    for (const std::string &region : permittedRegions(residency)) {
        out.append(out.empty() ? "" : ",").append(region);
    }
    return out.empty() ? "none" : out;
}

std::vector<serving::SubscriptionCandidate>
Front::openEngines(std::vector<serving::SubscriptionCandidate> engines) const
{
    std::erase_if(engines, [this](const serving::SubscriptionCandidate &engine) {
        return operators.evacuations.active.contains(engine.domain);
    });
    return engines;
}

} // namespace ibislock::front
