// The newest record of each key of a topic, with which a VM answers others that lack it. No I/O.
//
//     noteRecord(cache, record);
//     cache.end = 12;
//     std::vector<platform::KeyedRecord> lacking = recordsFrom(cache, 10);

#pragma once

#include "ibislock/platform/store_api.h"

#include <map>

namespace ibislock::feed
{

/// The records.
struct RecordsCache
{
    std::map<std::string, platform::KeyedRecord, std::less<>> newest; ///< By key; dropped ones among them.
    std::int64_t end = -1; ///< The offset up to which the topic is known; below 0 for nothing.
};

/// Takes over a record. One that is older than what is known of its key is ignored.
void applyTopicRecord(RecordsCache &cache, const platform::KeyedRecord &record);

/// The newest record of each key that stands at or behind an offset, in the order of the topic.
std::vector<platform::KeyedRecord> recordsFrom(const RecordsCache &cache, std::int64_t from);

} // namespace ibislock::feed
