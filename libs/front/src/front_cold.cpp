// What an entry VM knows of cold targets: from the desired state, load reports and listings.

#include "front.h"
#include "ibislock/base/log.h"

namespace ibislock::front
{

void Front::updateColdTerms()
{
    std::map<std::string, serving::ColdStartTerms, std::less<>> terms;
    if (!operators.state) {
        return;
    }
    for (const auto &[name, service] : operators.state->services) {
        const serving::ColdStartTerms of{.duration = service.coldDuration,
                                         .perSecond = service.coldPerSecond,
                                         .overshoot = settings.bounds.coldOvershoot,
                                         .slack = settings.bounds.coldSlack};
        if (isLimited(of)) {
            terms.emplace(name, of);
        }
    }
    applyColdTerms(table, std::move(terms));
}

void Front::applyEngineStart(serving::Target &target, const peer::LoadMessage &load, Millis now)
{
    if (!target.cold) {
        return;
    }
    recordSharers(*target.cold, load.loadSubscriberCount, now);
    recordEngineReport(*target.cold, {.startedAt = load.engineStartedAt, .runningFor = load.engineRunningFor}, now);
}

void Front::updateColdTargets(Millis now)
{
    const Millis asOf = now - m_listings->age();
    const bool confirmed = m_listings->synchronized();
    for (auto &[id, target] : table.targets) {
        if (!target.cold) {
            continue;
        }
        if (confirmed) {
            recordListingsConfirmed(*target.cold, asOf);
        }
        const serving::ColdPhase phase = phaseOf(*target.cold, now);
        const auto it = m_coldPhases.try_emplace(id, serving::ColdPhase::Warm).first;
        if (it->second != phase) {
            logInfo(LogComponent::Front, "A target's temperature changed.",
                    {{"target", id},
                     {"incarnation", std::to_string(target.cold->startedAt)},
                     {"phase", std::string(nameOf(serving::ColdPhaseNames, phase))},
                     {"before", std::string(nameOf(serving::ColdPhaseNames, it->second))},
                     {"heard_ms", std::to_string((now - target.cold->heardAt).count())},
                     {"sharers", std::to_string(serving::sharersOf(*target.cold, now))}});
            it->second = phase;
        }
    }
    std::erase_if(m_coldPhases, [&](const auto &item) { return !table.targets.contains(item.first); });
}

} // namespace ibislock::front
