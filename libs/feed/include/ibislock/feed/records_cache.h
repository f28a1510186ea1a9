// Cache of the newest record of each key of a topic, from which a VM answers requests of others. No I/O.
//
//     applyTopicRecord(cache, record);
//     cache.end = 12;
//     std::vector<platform::KeyedRecord> unread = recordsFrom(cache, 10);

#pragma once

#include "ibislock/platform/store_api.h"

#include <map>

namespace ibislock::feed
{

/// The newest records, as of an offset of the topic.
struct RecordsCache
{
    std::map<std::string, platform::KeyedRecord, std::less<>> newest; ///< By key; includes deleted keys.
    std::int64_t end = -1; ///< The offset up to which the topic is known; below 0 if it isn't.
};

/// Applies a record of the topic. One that is older than the cached record of its key is ignored.
void applyTopicRecord(RecordsCache &cache, const platform::KeyedRecord &record);

/// Returns the newest record of each key whose offset is at or after `from`, in the order of the topic.
std::vector<platform::KeyedRecord> recordsFrom(const RecordsCache &cache, std::int64_t from);

} // namespace ibislock::feed
