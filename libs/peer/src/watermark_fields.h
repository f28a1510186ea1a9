// The fields of a topic's watermark, which several messages carry under the same names.

#pragma once

#include "ibislock/peer/topic_watermark.h"

#include <algorithm>

namespace ibislock::peer
{

/// Sets the watermark fields of a message.
template <typename Builder>
void writeWatermark(Builder to, const TopicWatermark &watermark)
{
    to.setOperatorsEnd(watermark.end.offset);
    to.setOperatorsEra(watermark.end.era);
    to.setNamingsEnd(watermark.announcementsEnd.offset);
    to.setNamingsEra(watermark.announcementsEnd.era);
    to.setLevelAgeMs(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(watermark.age.count(), 0, TopicWatermark::UnknownAge.count())));
}

/// Returns the watermark that a message carries.
template <typename Reader>
TopicWatermark readWatermark(Reader from)
{
    return {.end = {.era = from.getOperatorsEra(), .offset = from.getOperatorsEnd()},
            .announcementsEnd = {.era = from.getNamingsEra(), .offset = from.getNamingsEnd()},
            .age = Millis{from.getLevelAgeMs()}};
}

} // namespace ibislock::peer
