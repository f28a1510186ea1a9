#include "ibislock/feed/listings_cache.h"

#include <algorithm>
#include <set>

namespace ibislock::feed
{

namespace
{

/// Difference of two cold times that makes no difference to entry VMs; heartbeats aren't exactly on time.
constexpr Millis ColdTimeTolerance{500};

peer::ListingChange toChange(const std::string &id, const CachedListing &cached)
{
    return {.id = id,
            .entry = cached.entry,
            .position = cached.position,
            .writeNumber = cached.entry ? cached.writeNumber : 0};
}

/// Returns whether a change is of the incarnation that was listed last.
bool isSameIncarnation(const peer::ListingChange &change, const CachedListing &cached)
{
    return change.entry && change.entry->startedAt != 0 && change.entry->startedAt == cached.startedAt;
}

/// Returns whether a record was written before the cached one, though it follows it in the topic. VMs of earlier
/// releases forward no numbers.
bool isEarlierWrite(const peer::ListingChange &change, const CachedListing &cached)
{
    return isSameIncarnation(change, cached) && change.writeNumber > 0 && change.writeNumber < cached.writeNumber;
}

/// Returns whether a change is of an incarnation before the one that was listed last; they start at increasing times.
bool isEarlierIncarnation(const peer::ListingChange &change, const CachedListing &cached)
{
    return change.entry && change.entry->startedAt != 0 && change.entry->startedAt < cached.startedAt;
}

/// Returns whether a record is of an incarnation before one that has left or is leaving; it was written before that one
/// started. If the target had started again, its start would be later unless its clock was set back meanwhile.
bool precedesALeaving(const peer::ListingChange &change, const CachedListing &cached)
{
    const bool left =
        !cached.entry || (cached.entry->draining && change.entry && cached.entry->service == change.entry->service);
    return left && isEarlierIncarnation(change, cached);
}

/// Returns whether a listing of a restored topic may have been written before the cached one.
bool mayPrecede(const peer::ListingChange &listing, const CachedListing &cached)
{
    const bool sameOrUnknown = listing.entry->startedAt == cached.startedAt;
    return isEarlierIncarnation(listing, cached) || (sameOrUnknown && listing.writeNumber <= cached.writeNumber);
}

/// Prepares the cache for a snapshot of a later era, as positions of earlier eras no longer count.
/// @return the listings of the snapshot, with cached ones in place of those that may have been written before them.
std::vector<peer::ListingChange> enterEra(ListingsCache &cache, const std::vector<peer::ListingChange> &snapshot,
                                          std::int64_t era)
{
    for (auto &[id, cached] : cache.listings) {
        cached.position = {.era = era, .offset = -1};
    }
    std::vector<peer::ListingChange> out;
    for (const peer::ListingChange &listing : snapshot) {
        const auto it = cache.listings.find(listing.id);
        if (it == cache.listings.end() || !mayPrecede(listing, it->second)) {
            out.push_back(listing);
        } else if (it->second.entry) {
            out.push_back(toChange(listing.id, it->second));
            out.back().position = listing.position;
        }
    }
    return out;
}

/// Returns whether a cold time is the one that follows from an earlier one, so that it needn't be forwarded. While a
/// target gets no requests, its cold time doesn't get shorter.
bool isSameColdTime(Millis coldLeft, Millis before, Millis elapsed)
{
    const bool bothCold = coldLeft > Millis{0} && before > Millis{0};
    return coldLeft == before ? !bothCold || elapsed <= ColdTimeTolerance
                              : bothCold && std::chrono::abs(before - elapsed - coldLeft) <= ColdTimeTolerance;
}

/// Returns whether a change says the same as the cached listing.
bool isSameListing(const peer::ListingChange &change, const CachedListing &cached, Millis now)
{
    if (!change.entry || !cached.entry || change.entry->coldLeft + cached.entry->coldLeft == Millis{0}) {
        return change.entry == cached.entry;
    }
    serving::TargetEntry entry = *change.entry;
    entry.coldLeft = cached.entry->coldLeft;
    return entry == *cached.entry
        && isSameColdTime(change.entry->coldLeft, cached.entry->coldLeft, now - cached.changedAt);
}

/// @param forwardEqual whether an entry that equals the cached one is forwarded.
bool apply(ListingsCache &cache, const peer::ListingChange &change, Millis now, bool forwardEqual)
{
    const auto it = cache.listings.find(change.id);
    const bool cached = it != cache.listings.end();
    if (cached
        && (change.position < it->second.position || isEarlierWrite(change, it->second)
            || precedesALeaving(change, it->second))) {
        return false;
    }
    // VMs that knew more than a restored store list a target differently at the same position.
    if (cached && change.position == it->second.position && isEarlierIncarnation(change, it->second)) {
        return false;
    }
    const bool equal = cached ? isSameListing(change, it->second, now) : !change.entry;
    if (!equal || forwardEqual) {
        CachedListing &item = cache.listings[change.id];
        item.entry = change.entry;
        item.position = change.position;
        item.changedAt = now;
    }
    if (change.entry && (change.entry->startedAt != 0 || !cached || it->second.startedAt == 0)) {
        CachedListing &item = cache.listings[change.id];
        item.writeNumber =
            isSameIncarnation(change, item) ? std::max(item.writeNumber, change.writeNumber) : change.writeNumber;
        item.startedAt = change.entry->startedAt;
    }
    return !equal;
}

} // namespace

bool applyTopicRecord(ListingsCache &cache, const peer::ListingChange &record, Millis now)
{
    return apply(cache, record, now, false);
}

bool applyListing(ListingsCache &cache, const peer::ListingChange &change, Millis now)
{
    return apply(cache, change, now, true);
}

std::vector<peer::ListingChange> replaceListings(ListingsCache &cache, const std::vector<peer::ListingChange> &snapshot,
                                                 const TopicPosition &end, Millis now)
{
    const bool restored = cache.end.isKnown() && end.era > cache.end.era;
    const std::vector<peer::ListingChange> listings = restored ? enterEra(cache, snapshot, end.era) : snapshot;
    if (end < cache.end) {
        // The topic was recreated: the cached offsets are no longer valid.
        for (auto &[id, cached] : cache.listings) {
            cached.position = {};
            cached.startedAt = 0;
        }
    }
    std::set<std::string, std::less<>> listed;
    std::vector<peer::ListingChange> changed;
    for (const peer::ListingChange &listing : listings) {
        listed.insert(listing.id);
        if (applyListing(cache, listing, now)) {
            changed.push_back(listing);
        }
    }
    for (const auto &[id, cached] : cache.listings) {
        if (cached.entry && !listed.contains(id)) {
            changed.push_back({.id = id, .entry = {}, .position = advancedBy(end, -1)});
        }
    }
    for (const peer::ListingChange &change : changed) {
        applyListing(cache, change, now);
    }
    cache.coveredFrom = end;
    cache.end = end;
    return changed;
}

bool covers(const ListingsCache &cache, const TopicPosition &from)
{
    return cache.coveredFrom.isKnown() && from >= cache.coveredFrom;
}

std::vector<peer::ListingChange> changesFrom(const ListingsCache &cache, const TopicPosition &from)
{
    std::vector<peer::ListingChange> out;
    for (const auto &[id, cached] : cache.listings) {
        if (cached.position >= from) {
            out.push_back(toChange(id, cached));
        }
    }
    return out;
}

std::vector<peer::ListingChange> allListings(const ListingsCache &cache)
{
    std::vector<peer::ListingChange> out;
    for (const auto &[id, cached] : cache.listings) {
        if (cached.entry) {
            out.push_back(toChange(id, cached));
        }
    }
    return out;
}

void shortenColdTimes(std::vector<peer::ListingChange> &changes, const ListingsCache &cache, Millis now)
{
    for (peer::ListingChange &change : changes) {
        const auto it = cache.listings.find(change.id);
        if (change.entry && change.entry->coldLeft > Millis{0} && it != cache.listings.end()) {
            // Only the target itself says that it isn't cold any more.
            change.entry->coldLeft = std::max(change.entry->coldLeft - (now - it->second.changedAt), Millis{1});
        }
    }
}

void pruneTombstones(ListingsCache &cache, Millis now)
{
    for (auto it = cache.listings.begin(); it != cache.listings.end();) {
        const bool expired = !it->second.entry && now >= it->second.changedAt + TombstoneLifetime;
        cache.coveredFrom =
            expired ? std::max(cache.coveredFrom, advancedBy(it->second.position, 1)) : cache.coveredFrom;
        it = expired ? cache.listings.erase(it) : std::next(it);
    }
}

} // namespace ibislock::feed
