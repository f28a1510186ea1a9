// The fields of a topic's level, which several messages carry under the same names.

#pragma once

#include "ibislock/peer/topic_watermark.h"

#include <algorithm>

namespace ibislock::peer
{

/// Writes a level.
template <typename Builder>
void writeWatermark(Builder to, const TopicWatermark &watermark)
{
    to.setOperatorsEnd(watermark.end);
    to.setNamingsEnd(watermark.announcementsEnd);
    to.setLevelAgeMs(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(watermark.age.count(), 0, TopicWatermark::UnknownAge.count())));
}

/// Reads a level.
template <typename Reader>
TopicWatermark readWatermark(Reader from)
{
    return {
        .end = from.getOperatorsEnd(), .announcementsEnd = from.getNamingsEnd(), .age = Millis{from.getLevelAgeMs()}};
}

} // namespace ibislock::peer
