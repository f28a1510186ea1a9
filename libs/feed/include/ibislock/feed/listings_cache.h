// Cache of all listings of targets that a VM knows, with the position at which each last changed. Most records of the
// topic are heartbeats that change nothing; only the changes after a position are forwarded to other VMs. No I/O.
//
//     if (applyTopicRecord(cache, change, now)) { ... }         // a record that was read from the topic
//     if (covers(cache, from)) { changesFrom(cache, from); }    // the changes that another VM lacks

#pragma once

#include "ibislock/peer/listings.h"

#include <map>

namespace ibislock::feed
{

/// A listing, or the tombstone of one that was removed.
struct CachedListing
{
    std::optional<serving::TargetEntry> entry; ///< Empty in a tombstone.
    TopicPosition position; ///< The position of the last change.
    std::int64_t startedAt = 0; ///< The last listed incarnation; 0 if unknown. Also in a tombstone.
    std::int64_t writeNumber = 0; ///< The last known number of its writes; 0 if unknown. Also in a tombstone.
    Millis changedAt{0}; ///< When this VM learned of the change, in monotonic time.
};

/// The listings, as of a position in the topic.
struct ListingsCache
{
    std::map<std::string, CachedListing, std::less<>> listings; ///< By id; includes tombstones.
    TopicPosition coveredFrom; ///< All changes at or after this position are known; unknown if none are.
    TopicPosition end; ///< The position up to which the topic is known.
    Millis asOf{0}; ///< When the topic ended at `end`, by the boot clock.
};

/// How long the tombstone of a removed listing is kept, so that VMs that request changes learn of the removal; they
/// send a request every second or two.
inline constexpr Millis TombstoneLifetime{30000};

// A write that was under way for long may be appended after later ones of the same incarnation, or after the removal of
// its listing, or after a later incarnation has left. Such a record is ignored wherever it comes from.

/// Applies the next record of the topic. A record that changes nothing is a heartbeat and isn't forwarded.
/// @return whether the listing changed.
bool applyTopicRecord(ListingsCache &cache, const peer::ListingChange &record, Millis now);

/// Applies a listing that another VM forwarded. One that is older than the cached one is ignored. One that equals the
/// cached one is still forwarded, as the listing may have been removed and added again in between.
/// @return whether the listing changed.
bool applyListing(ListingsCache &cache, const peer::ListingChange &change, Millis now);

/// Replaces all listings by those of a snapshot. The changes in between are unknown, so a VM that requests them from an
/// earlier position gets all listings. In a snapshot of a later era, which comes from an older copy, a listing that was
/// written before the cached one is ignored, so that a target that has left or is leaving doesn't return by it.
/// @param end the position up to which the snapshot holds; below `cache.end` it means that the topic was recreated.
/// @return the changes, including removals.
std::vector<peer::ListingChange> replaceListings(ListingsCache &cache, const std::vector<peer::ListingChange> &snapshot,
                                                 const TopicPosition &end, Millis now);

/// Returns whether all changes from a position on are known.
bool covers(const ListingsCache &cache, const TopicPosition &from);

/// Returns the listings that changed at or after a position, including tombstones.
std::vector<peer::ListingChange> changesFrom(const ListingsCache &cache, const TopicPosition &from);

/// Returns all listings, without tombstones.
std::vector<peer::ListingChange> allListings(const ListingsCache &cache);

/// Shortens the cold times of cached listings that are sent now by the time since this VM learned of them.
void shortenColdTimes(std::vector<peer::ListingChange> &changes, const ListingsCache &cache, Millis now);

/// Deletes tombstones older than `TombstoneLifetime`; changes up to their offsets are then no longer covered.
void pruneTombstones(ListingsCache &cache, Millis now);

} // namespace ibislock::feed
