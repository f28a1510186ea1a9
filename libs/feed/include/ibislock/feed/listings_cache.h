// All listings of targets that a VM knows, with the offsets at which they last changed. Most records of the topic are
// heartbeats that change nothing; what is passed on to other VMs are the changes behind an offset. No I/O.
//
//     if (noteRecord(cache, change, now)) { ... }               // a record that was read
//     if (covers(cache, from)) { changesFrom(cache, from); }    // what another VM lacks

#pragma once

#include "ibislock/peer/listings.h"

#include <map>

namespace ibislock::feed
{

/// A listing, or the fact that it was removed.
struct CachedListing
{
    std::optional<serving::TargetEntry> entry; ///< Nothing if it was removed.
    std::int64_t offset = 0; ///< Of its last change.
    Millis changedAt{0}; ///< When this VM learnt of it.
};

/// The listings.
struct ListingsCache
{
    std::map<std::string, CachedListing, std::less<>> listings; ///< By id, lately removed ones among them.
    std::int64_t coveredFrom = -1; ///< Changes at or behind this offset are all known; below 0 for none.
    std::int64_t end = -1; ///< The offset up to which the topic is known; below 0 for nothing.
    Millis asOf{0}; ///< When the topic ended there, by the boot clock.
};

/// How long a removed listing is remembered, so that VMs that ask for changes learn of it; they ask each second or two.
inline constexpr Millis TombstoneLifetime{30000};

/// Takes over the next record of the topic. One that changes nothing is a heartbeat, and is not passed on.
/// @return whether anything changed.
bool applyTopicRecord(ListingsCache &cache, const peer::ListingChange &record, Millis now);

/// Takes over what another VM passed on. One that is older than what is known is ignored; one that changes nothing may
/// hide a removal in between, and is passed on.
/// @return whether anything changed.
bool applyListing(ListingsCache &cache, const peer::ListingChange &change, Millis now);

/// Replaces all listings. What was removed and listed in between is not known, so earlier askers get all.
/// @param end the offset up to which they are known. Below the end that is known, the topic has begun anew.
/// @return what changed.
std::vector<peer::ListingChange> replaceListings(ListingsCache &cache, const std::vector<peer::ListingChange> &listings,
                                                 std::int64_t end, Millis now);

/// Tells whether all changes from an offset on are known.
bool covers(const ListingsCache &cache, std::int64_t from);

/// The listings that changed at or behind an offset.
std::vector<peer::ListingChange> changesFrom(const ListingsCache &cache, std::int64_t from);

/// All listings that are there.
std::vector<peer::ListingChange> allListings(const ListingsCache &cache);

/// Forgets listings that were removed long ago.
void pruneTombstones(ListingsCache &cache, Millis now);

} // namespace ibislock::feed
