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

void eraseTarget(TargetTable &table, std::map<std::string, Target, std::less<>>::iterator it, Millis now)
{
    if (!admits(it->second.notice, now)) {
        table.pastNotices[it->first] = {.notice = it->second.notice, .since = now};
    }
    table.targets.erase(it);
}

/// Finds what a target that is listed anew has said earlier in the same life.
TargetNotice takePastNotice(TargetTable &table, const std::string &id, std::int64_t startedAt)
{
    const auto it = table.pastNotices.find(id);
    const bool sameLife = it != table.pastNotices.end() && it->second.notice.startedAt == startedAt;
    const TargetNotice out = sameLife ? it->second.notice : TargetNotice{.startedAt = startedAt};
    table.pastNotices.erase(id);
    return out;
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
    eraseTarget(table, it, now);
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
        if (target.entry.id.empty() || target.entry.startedAt != entry->startedAt) {
            target.notice = takePastNotice(table, id, entry->startedAt);
        }
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

void noteStoreBack(TargetTable &table, Millis at)
{
    table.storeBackAt = std::max(table.storeBackAt, at);
}

void expireLapsed(TargetTable &table, Millis now)
{
    if (table.storeAway || now < table.storeBackAt + LapseGrace) {
        return;
    }
    for (auto it = table.targets.begin(); it != table.targets.end();) {
        const auto next = std::next(it);
        if (it->second.lapsedSince) {
            eraseTarget(table, it, now);
        }
        it = next;
    }
    std::erase_if(table.pastNotices, [&](const auto &item) { return now > item.second.since + PastNoticeLifetime; });
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

TargetNotice *noticeOf(TargetTable &table, std::string_view id, std::int64_t startedAt, Millis now)
{
    const auto it = table.targets.find(id);
    if (it != table.targets.end()) {
        return it->second.entry.startedAt == startedAt ? &it->second.notice : nullptr;
    }
    PastNotice &past = table.pastNotices[std::string(id)];
    if (past.notice.startedAt != startedAt) {
        past.notice = {.startedAt = startedAt};
    }
    past.since = now;
    return &past.notice;
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
