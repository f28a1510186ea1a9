// Cache of the newest record of each key of a topic, from which a VM answers requests of others. No I/O.
//
//     applyTopicRecord(cache, record);
//     cache.end = {.era = 1, .offset = 12};
//     std::vector<platform::KeyedRecord> unread = recordsFrom(cache, {.era = 1, .offset = 10});

#pragma once

#include "ibislock/platform/store_api.h"

#include <map>
#include <set>

namespace ibislock::feed
{

/// The newest records, as of a position in the topic.
struct RecordsCache
{
    std::map<std::string, platform::KeyedRecord, std::less<>> newest; ///< By key; includes deleted keys.
    TopicPosition end; ///< The position up to which the topic is known.
    /// The end of the last snapshot. Deletions before it may be unknown here, of keys that were never read.
    TopicPosition snapshotEnd;
    /// The records that took effect last, by key. The topic lacks one if the store was restored from an older copy, or
    /// if a later record of the key is invalid.
    std::map<std::string, platform::KeyedRecord, std::less<>> inForce;
};

/// Applies a record of the topic. One that is older than the cached record of its key is ignored.
void applyTopicRecord(RecordsCache &cache, const platform::KeyedRecord &record);

/// Returns the newest record of each key at or after `from`, in the order of the topic. Records of an earlier era than
/// that of `cache.end` are left out: the topic no longer holds them.
std::vector<platform::KeyedRecord> recordsFrom(const RecordsCache &cache, const TopicPosition &from);

/// Returns the keys that have a value, in the era of `cache.end`.
std::vector<std::string> liveKeys(const RecordsCache &cache);

/// What is known of a topic up to its end, beside the records that were read before.
struct SnapshotContent
{
    std::set<std::string, std::less<>> keys; ///< All keys that have a value.
    std::set<TopicPosition> usedPositions; ///< The positions of its records, as far as known.
    TopicPosition end;
};

/// Returns a tombstone for each key that was deleted, as it has a value in the cache and a later snapshot lacks it. A
/// snapshot of another era shows nothing: a topic that was restored from an older copy lacks records as well.
/// @return tombstones at the last unused positions before the end; the real positions are unknown.
std::vector<platform::KeyedRecord> deletedRecords(const RecordsCache &cache, const SnapshotContent &content);

/// Returns the records in force that the topic lacks, or may lack.
/// @param era the era of the topic. If it is later than that of the cache, the topic may lack any record.
std::vector<platform::KeyedRecord> lostRecords(const RecordsCache &cache, std::int64_t era);

} // namespace ibislock::feed
