#include "ibislock/feed/operators_watermark.h"

#include "ibislock/platform/listings.h"

#include <algorithm>

namespace ibislock::feed
{

namespace
{

/// How long the store holds a read of a VM that tells others back, as a part of the time in which a desired state must
/// be in force. A read whose answer was lost is noticed after this time and that of a call.
constexpr double LongPollFraction = 0.45;

/// The same for a VM that no other confirms, as after a start of all.
constexpr double PassiveLongPollFraction = 0.9;

/// How long other VMs are relied on, as a part of that time: they read once in `HoldPart` and tell it with their loads.
constexpr double ValidityFraction = 0.8;

Millis fractionOf(Millis time, double part)
{
    return Millis{static_cast<std::int64_t>(static_cast<double>(time.count()) * part)};
}

} // namespace

FeedOptions operatorsFeedOptions(Millis stateTime)
{
    return {.topic = std::string(platform::OperatorsTopic),
            .longPollTime = fractionOf(stateTime, LongPollFraction),
            .passiveLongPollTime = fractionOf(stateTime, PassiveLongPollFraction),
            .validityTime = fractionOf(stateTime, ValidityFraction),
            .newestOnly = true};
}

bool mergeWatermark(OperatorsWatermark &level, const OperatorsWatermark &other)
{
    if (other.end < level.end) {
        return false;
    }
    const bool news = other.end > level.end;
    level = {.end = other.end,
             .announcementsEnd = std::max(level.announcementsEnd, other.announcementsEnd),
             .asOf = std::max(level.asOf, other.asOf)};
    return news;
}

void recordAnnouncementOffset(OperatorsWatermark &level, std::int64_t offset)
{
    level.announcementsEnd = std::max(level.announcementsEnd, offset + 1);
}

peer::TopicWatermark toMessage(const OperatorsWatermark &level, Millis now)
{
    return {.end = level.end,
            .announcementsEnd = level.announcementsEnd,
            .age = level.end < 0 ? peer::TopicWatermark::UnknownAge : now - level.asOf};
}

OperatorsWatermark fromMessage(const peer::TopicWatermark &level, Millis now)
{
    return {.end = level.end, .announcementsEnd = level.announcementsEnd, .asOf = now - level.age};
}

} // namespace ibislock::feed
