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

std::vector<std::string> liveKeys(const RecordsCache &cache)
{
    std::vector<std::string> out;
    for (const auto &[key, record] : cache.newest) {
        if (record.value && record.position.era == cache.end.era) {
            out.push_back(key);
        }
    }
    return out;
}

std::vector<platform::KeyedRecord> deletedRecords(const RecordsCache &cache, const SnapshotContent &content)
{
    std::vector<platform::KeyedRecord> out;
    for (const auto &[key, record] : cache.newest) {
        const bool earlier = record.position.era == content.end.era && record.position < content.end;
        if (record.value && earlier && !content.keys.contains(key)) {
            out.push_back({.key = key, .value = std::nullopt, .position = record.position});
        }
    }
    // Each deletion is behind its record, at a position that no other record has. Beginning with the last record, the
    // last unused position is behind it.
    std::sort(out.begin(), out.end(),
              [](const platform::KeyedRecord &a, const platform::KeyedRecord &b) { return a.position > b.position; });
    TopicPosition unused = advancedBy(content.end, -1);
    for (platform::KeyedRecord &record : out) {
        while (content.usedPositions.contains(unused)) {
            unused = advancedBy(unused, -1);
        }
        record.position = std::max(record.position, unused);
        unused = advancedBy(unused, -1);
    }
    return out;
}

std::vector<platform::KeyedRecord> lostRecords(const RecordsCache &cache, std::int64_t era)
{
    std::vector<platform::KeyedRecord> out;
    for (const auto &[key, record] : cache.inForce) {
        const auto it = cache.newest.find(key);
        const bool inTopic = it != cache.newest.end() && it->second.position.era == cache.end.era;
        if (cache.end.era < era || !inTopic || it->second.value != record.value) {
            out.push_back(record);
        }
    }
    return out;
}

} // namespace ibislock::feed
