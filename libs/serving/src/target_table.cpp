#include "ibislock/serving/target_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace ibislock::serving
{

namespace
{

/// Returns whether targets whose listing expired in an outage of the store may still be listed again.
bool isInGracePeriod(const TargetTable &table, Millis now)
{
    return table.storeRecoveredAt > Millis{0} && now < table.storeRecoveredAt + ListingGracePeriod;
}

void eraseTarget(TargetTable &table, std::map<std::string, Target, std::less<>>::iterator it, Millis now)
{
    Target &target = it->second;
    if (target.cold) {
        recordUnlisted(*target.cold, now);
    }
    if (target.cold || !acceptsRequests(target.signals, now) || target.signals.limit || target.inFlight > 0) {
        table.retainedTargets[it->first] = {.signals = target.signals,
                                            .address = target.entry.address,
                                            .inFlight = target.inFlight,
                                            .cold = target.cold,
                                            .since = now};
    }
    table.targets.erase(it);
}

/// Removes what is retained of a newly listed target and returns it if it is of the same incarnation.
RetainedTarget takeRetained(TargetTable &table, const std::string &id, const TargetEntry &entry)
{
    const auto it = table.retainedTargets.find(id);
    const bool sameIncarnation = it != table.retainedTargets.end() && it->second.signals.startedAt == entry.startedAt;
    RetainedTarget out = sameIncarnation ? it->second : RetainedTarget{.signals = {.startedAt = entry.startedAt}};
    if (out.address != entry.address) {
        out.inFlight = 0;
    }
    table.retainedTargets.erase(id);
    return out;
}

/// Sets or removes what is known of a target's temperature, as its service requires.
void updateColdTerms(const TargetTable &table, Target &target)
{
    const auto it = table.coldTerms.find(target.entry.service);
    if (it == table.coldTerms.end()) {
        target.cold.reset();
        return;
    }
    if (!target.cold) {
        target.cold = ColdTarget{};
        recordListing(*target.cold, {.startedAt = target.entry.startedAt, .coldLeft = target.entry.coldLeft},
                      target.listedAt);
    }
    target.cold->terms = it->second;
    target.cold->entryVms = table.coldEntryVms;
}

/// Returns the start of the incarnation that was listed last under an id that is no longer listed; 0 if unknown.
std::int64_t retainedIncarnation(const TargetTable &table, const std::string &id)
{
    const auto it = table.retainedTargets.find(id);
    return it == table.retainedTargets.end() ? 0 : it->second.signals.startedAt;
}

/// Returns whether a listing is of an incarnation before the known one, which has said that it is draining.
bool precedesALeaving(const TargetTable &table, const std::string &id, const TargetEntry &entry)
{
    const auto it = table.targets.find(id);
    if (it != table.targets.end()) {
        return it->second.signals.draining && it->second.entry.service == entry.service && entry.startedAt != 0
            && entry.startedAt < it->second.entry.startedAt;
    }
    const auto retained = table.retainedTargets.find(id);
    return retained != table.retainedTargets.end() && retained->second.signals.draining && entry.startedAt != 0
        && entry.startedAt < retained->second.signals.startedAt;
}

void removeEntry(TargetTable &table, const std::string &id, Millis now)
{
    const auto it = table.targets.find(id);
    if (it == table.targets.end()) {
        return;
    }
    if (isInGracePeriod(table, now) && !it->second.entry.draining) {
        if (!it->second.expiringSince) {
            it->second.expiringSince = now;
        }
        return;
    }
    eraseTarget(table, it, now);
}

} // namespace

void applyEntry(TargetTable &table, const std::string &id, std::optional<TargetEntry> entry, Millis now)
{
    if (!entry) {
        removeEntry(table, id, now);
        return;
    }
    if (precedesALeaving(table, id, *entry)) {
        return;
    }
    const auto retainedCold = table.retainedTargets.find(id);
    std::optional<ColdTarget> cold =
        retainedCold != table.retainedTargets.end() ? retainedCold->second.cold : std::nullopt;
    Target &target = table.targets[id];
    const ListedStart listedStart{.startedAt = entry->startedAt, .coldLeft = entry->coldLeft};
    const bool namesIncarnation = entry->startedAt != 0;
    if (!namesIncarnation) {
        // Without its start an entry doesn't show that the target was started again.
        entry->startedAt = target.entry.id.empty() ? retainedIncarnation(table, id) : target.entry.startedAt;
    }
    const bool newIncarnation =
        target.entry.id.empty() || target.entry.startedAt != entry->startedAt || target.entry.address != entry->address;
    if (target.entry.id.empty()) {
        target.cold = cold;
    }
    if (newIncarnation) {
        target.load.reset();
        target.health = {};
        target.recentAttempts.clear();
        target.recentEnds.clear();
        target.inFlight = 0;
        target.heardAt = now;
        if (target.entry.id.empty() || target.entry.startedAt != entry->startedAt) {
            const RetainedTarget retained = takeRetained(table, id, *entry);
            target.signals = retained.signals;
            target.inFlight = retained.inFlight;
        }
    }
    target.expiringSince.reset();
    target.entry = std::move(*entry);
    target.listedAt = now;
    updateColdTerms(table, target);
    if (target.cold) {
        recordListing(*target.cold, listedStart, now);
    }
    if (target.entry.draining && namesIncarnation) {
        recordDraining(target.signals); // An incarnation that leaves doesn't come back.
    }
}

void applyColdTerms(TargetTable &table, std::map<std::string, ColdStartTerms, std::less<>> terms)
{
    table.coldTerms = std::move(terms);
    for (auto &[id, target] : table.targets) {
        updateColdTerms(table, target);
    }
}

void applyColdEntryVms(TargetTable &table, int entryVms)
{
    if (std::exchange(table.coldEntryVms, entryVms) == entryVms) {
        return; // Called with each load report.
    }
    for (auto &[id, target] : table.targets) {
        updateColdTerms(table, target);
    }
}

void recordDomainPossiblyCold(TargetTable &table, std::string_view domain, Millis from)
{
    for (auto &[id, target] : table.targets) {
        if (target.cold && target.entry.domain == domain) {
            recordPossiblyCold(*target.cold, from);
        }
    }
}

void replaceEntries(TargetTable &table, std::vector<TargetEntry> entries, Millis now)
{
    std::set<std::string> listed;
    for (TargetEntry &entry : entries) {
        listed.insert(entry.id);
        const std::string id = entry.id;
        applyEntry(table, id, std::move(entry), now);
    }
    std::vector<std::string> removed;
    for (const auto &[id, target] : table.targets) {
        if (!listed.contains(id)) {
            removed.push_back(id);
        }
    }
    for (const std::string &id : removed) {
        removeEntry(table, id, now);
    }
}

void recordStoreRecovery(TargetTable &table, Millis at)
{
    table.storeRecoveredAt = std::max(table.storeRecoveredAt, at);
}

void expireListings(TargetTable &table, Millis now)
{
    if (isInGracePeriod(table, now)) {
        return;
    }
    for (auto it = table.targets.begin(); it != table.targets.end();) {
        const auto next = std::next(it);
        if (it->second.expiringSince) {
            eraseTarget(table, it, now);
        }
        it = next;
    }
    std::erase_if(table.retainedTargets,
                  [&](const auto &item) { return now > item.second.since + RetainedTargetLifetime; });
}

void applyLoad(TargetTable &table, std::string_view id, const TargetLoad &load, Millis coversUntil)
{
    const auto it = table.targets.find(id);
    if (it == table.targets.end()) {
        return;
    }
    it->second.load = load;
    it->second.loadCoversUntil = coversUntil;
}

TargetSignals *signalsOf(TargetTable &table, std::string_view id, std::int64_t startedAt, Millis now)
{
    const auto it = table.targets.find(id);
    if (it != table.targets.end()) {
        return it->second.entry.startedAt == startedAt ? &it->second.signals : nullptr;
    }
    RetainedTarget &retained = table.retainedTargets[std::string(id)];
    if (retained.signals.startedAt != startedAt) {
        retained = {.signals = {.startedAt = startedAt}, .cold = retained.cold};
    }
    retained.since = now;
    return &retained.signals;
}

void applyEntryVms(TargetTable &table, int entryVms, Random &random, Millis now)
{
    const auto apply = [&](TargetSignals &signals) {
        if (signals.limit) {
            changeLimit(*signals.limit, {.perSecond = signals.limit->terms.perSecond, .entryVms = entryVms}, random,
                        now);
        }
    };
    for (auto &[id, target] : table.targets) {
        apply(target.signals);
    }
    for (auto &[id, retained] : table.retainedTargets) {
        apply(retained.signals);
    }
}

void recordAttempt(Target &target, Millis now, double promptMs)
{
    if (target.signals.limit) {
        takeTurn(*target.signals.limit, now);
    }
    if (target.cold) {
        takeColdTurn(*target.cold, now);
    }
    target.heardAt = target.inFlight == 0 ? now : target.heardAt;
    ++target.inFlight;
    target.recentAttempts.push_back({.sentAt = now, .promptMs = promptMs});
    if (target.recentAttempts.size() > MaxRecentAttempts) {
        target.recentAttempts.pop_front();
    }
}

void recordEnd(Target &target, Millis now)
{
    target.recentEnds.push_back(now);
    if (target.recentEnds.size() > MaxRecentAttempts) {
        target.recentEnds.pop_front();
    }
}

Millis silenceOf(const Target &target, Millis now)
{
    return target.inFlight > 0 ? now - target.heardAt : Millis{0};
}

void recordOutcome(Target &target, bool success, Millis now)
{
    target.health.silent = false;
    if (success) {
        target.health.consecutiveFailures = 0;
        return;
    }
    ++target.health.consecutiveFailures;
    if (target.health.consecutiveFailures >= EjectionFailureThreshold) {
        const int doublings = std::min(target.health.consecutiveFailures - EjectionFailureThreshold, 2);
        target.health.ejectedUntil = now + BaseEjectionTime * (1 << doublings);
    }
}

} // namespace ibislock::serving
