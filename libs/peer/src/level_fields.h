// The fields of a topic's level, which several messages carry under the same names.

#pragma once

#include "ibislock/peer/topic_level.h"

#include <algorithm>

namespace ibislock::peer
{

/// Writes a level.
template <typename Builder>
void writeLevel(Builder to, const TopicLevel &level)
{
    to.setOperatorsEnd(level.end);
    to.setNamingsEnd(level.namingsEnd);
    to.setLevelAgeMs(
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(level.age.count(), 0, TopicLevel::UnknownAge.count())));
}

/// Reads a level.
template <typename Reader>
TopicLevel levelFrom(Reader from)
{
    return {.end = from.getOperatorsEnd(), .namingsEnd = from.getNamingsEnd(), .age = Millis{from.getLevelAgeMs()}};
}

} // namespace ibislock::peer
