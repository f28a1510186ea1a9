#include "ibislock/feed/records_cache.h"

#include <algorithm>

namespace ibislock::feed
{

void applyTopicRecord(RecordsCache &cache, const platform::KeyedRecord &record)
{
    const auto [it, isNew] = cache.newest.try_emplace(record.key, record);
    if (!isNew && it->second.offset < record.offset) {
        it->second = record;
    }
}

std::vector<platform::KeyedRecord> recordsFrom(const RecordsCache &cache, std::int64_t from)
{
    std::vector<platform::KeyedRecord> out;
    for (const auto &[key, record] : cache.newest) {
        if (record.offset >= from) {
            out.push_back(record);
        }
    }
    std::sort(out.begin(), out.end(),
              [](const platform::KeyedRecord &a, const platform::KeyedRecord &b) { return a.offset < b.offset; });
    return out;
}

} // namespace ibislock::feed
