#include "ibislock/feed/listings_cache.h"

#include <algorithm>
#include <set>

namespace ibislock::feed
{

namespace
{

peer::ListingChange toChange(const std::string &id, const CachedListing &cached)
{
    return {
        .id = id, .entry = cached.entry, .offset = cached.offset, .writeNumber = cached.entry ? cached.writeNumber : 0};
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

/// @param forwardEqual whether an entry that equals the cached one is forwarded.
bool apply(ListingsCache &cache, const peer::ListingChange &change, Millis now, bool forwardEqual)
{
    const auto it = cache.listings.find(change.id);
    const bool cached = it != cache.listings.end();
    if (cached && (change.offset < it->second.offset || isEarlierWrite(change, it->second))) {
        return false;
    }
    const bool equal = cached ? change.entry == it->second.entry : !change.entry;
    if (!equal || forwardEqual) {
        CachedListing &item = cache.listings[change.id];
        item.entry = change.entry;
        item.offset = change.offset;
        item.changedAt = now;
    }
    if (change.entry) {
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

std::vector<peer::ListingChange> replaceListings(ListingsCache &cache, const std::vector<peer::ListingChange> &listings,
                                                 std::int64_t end, Millis now)
{
    if (end < cache.end) {
        // The topic was recreated: the cached offsets are no longer valid.
        for (auto &[id, cached] : cache.listings) {
            cached.offset = -1;
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
            changed.push_back({.id = id, .entry = {}, .offset = end - 1});
        }
    }
    for (const peer::ListingChange &change : changed) {
        applyListing(cache, change, now);
    }
    cache.coveredFrom = end;
    cache.end = end;
    return changed;
}

bool covers(const ListingsCache &cache, std::int64_t from)
{
    return cache.coveredFrom >= 0 && from >= cache.coveredFrom;
}

std::vector<peer::ListingChange> changesFrom(const ListingsCache &cache, std::int64_t from)
{
    std::vector<peer::ListingChange> out;
    for (const auto &[id, cached] : cache.listings) {
        if (cached.offset >= from) {
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

void pruneTombstones(ListingsCache &cache, Millis now)
{
    for (auto it = cache.listings.begin(); it != cache.listings.end();) {
        const bool expired = !it->second.entry && now >= it->second.changedAt + TombstoneLifetime;
        cache.coveredFrom = expired ? std::max(cache.coveredFrom, it->second.offset + 1) : cache.coveredFrom;
        it = expired ? cache.listings.erase(it) : std::next(it);
    }
}

} // namespace ibislock::feed
