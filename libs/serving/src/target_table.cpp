#include "ibislock/serving/target_table.h"

#include <algorithm>
#include <set>

namespace ibislock::serving
{

namespace
{

/// Tells whether a removal may only mean that the listing ran out while the store was away.
bool mayHaveLapsed(const TargetTable &table, const Target &target, Millis now)
{
    const bool disturbed = table.storeAway || (table.storeBackAt > Millis{0} && now < table.storeBackAt + LapseGrace);
    return disturbed && !target.entry.leaving;
}

void removeEntry(TargetTable &table, const std::string &id, Millis now)
{
    const auto it = table.targets.find(id);
    if (it == table.targets.end()) {
        return;
    }
    if (mayHaveLapsed(table, it->second, now)) {
        if (!it->second.lapsedSince) {
            it->second.lapsedSince = now;
        }
        return;
    }
    table.targets.erase(it);
}

} // namespace

void applyEntry(TargetTable &table, const std::string &id, std::optional<TargetEntry> entry, Millis now)
{
    if (!entry) {
        removeEntry(table, id, now);
        return;
    }
    Target &target = table.targets[id];
    const bool newLife =
        target.entry.id.empty() || target.entry.startedAt != entry->startedAt || target.entry.address != entry->address;
    if (newLife) {
        target.load.reset();
        target.health = {};
        target.recentSends.clear();
    }
    target.lapsedSince.reset();
    target.entry = std::move(*entry);
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

void noteStore(TargetTable &table, bool away, Millis now)
{
    if (table.storeAway && !away) {
        table.storeBackAt = now;
    }
    table.storeAway = away;
}

void expireLapsed(TargetTable &table, Millis now)
{
    if (table.storeAway || now < table.storeBackAt + LapseGrace) {
        return;
    }
    std::erase_if(table.targets, [](const auto &item) { return item.second.lapsedSince.has_value(); });
}

void applyLoad(TargetTable &table, std::string_view id, const TargetLoad &load, Millis showsUntil)
{
    const auto it = table.targets.find(id);
    if (it == table.targets.end()) {
        return;
    }
    it->second.load = load;
    it->second.loadShowsUntil = showsUntil;
}

void noteSend(Target &target, Millis now, double promptMs)
{
    ++target.inFlight;
    target.recentSends.push_back({.at = now, .promptMs = promptMs});
    if (target.recentSends.size() > RecentSends) {
        target.recentSends.pop_front();
    }
}

void noteOutcome(Target &target, bool good, Millis now)
{
    if (good) {
        target.health.failuresInRow = 0;
        return;
    }
    ++target.health.failuresInRow;
    if (target.health.failuresInRow >= FailuresToAvoid) {
        const int doublings = std::min(target.health.failuresInRow - FailuresToAvoid, 2);
        target.health.avoidUntil = now + AvoidTime * (1 << doublings);
    }
}

} // namespace ibislock::serving
