#include "ibislock/feed/records_cache.h"

#include <algorithm>

namespace ibislock::feed
{

void applyTopicRecord(RecordsCache &cache, const platform::KeyedRecord &record)
{
    const auto [it, isNew] = cache.newest.try_emplace(record.key, record);
    if (!isNew && it->second.position < record.position) {
        it->second = record;
    }
}

std::vector<platform::KeyedRecord> recordsFrom(const RecordsCache &cache, const TopicPosition &from)
{
    std::vector<platform::KeyedRecord> out;
    for (const auto &[key, record] : cache.newest) {
        if (record.position >= from && record.position.era == cache.end.era) {
            out.push_back(record);
        }
    }
    std::sort(out.begin(), out.end(),
              [](const platform::KeyedRecord &a, const platform::KeyedRecord &b) { return a.position < b.position; });
    return out;
}

std::vector<platform::KeyedRecord> lostRecords(const RecordsCache &cache, std::int64_t era)
{
    std::vector<platform::KeyedRecord> out;
    for (const auto &[key, record] : cache.inForce) {
        const auto it = cache.newest.find(key);
        if (cache.end.era < era || it == cache.newest.end() || it->second.value != record.value) {
            out.push_back(record);
        }
    }
    return out;
}

} // namespace ibislock::feed
