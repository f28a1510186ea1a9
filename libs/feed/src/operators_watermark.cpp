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

Millis fractionOf(Millis time, double fraction)
{
    return Millis{static_cast<std::int64_t>(static_cast<double>(time.count()) * fraction)};
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

bool mergeWatermark(OperatorsWatermark &watermark, const OperatorsWatermark &other)
{
    if (other.end < watermark.end) {
        return false;
    }
    const bool advanced = other.end > watermark.end;
    watermark = {.end = other.end,
                 .announcementsEnd = std::max(watermark.announcementsEnd, other.announcementsEnd),
                 .asOf = std::max(watermark.asOf, other.asOf)};
    return advanced;
}

void recordAnnouncementOffset(OperatorsWatermark &watermark, std::int64_t offset)
{
    watermark.announcementsEnd = std::max(watermark.announcementsEnd, offset + 1);
}

peer::TopicWatermark toMessage(const OperatorsWatermark &watermark, Millis now)
{
    return {.end = watermark.end,
            .announcementsEnd = watermark.announcementsEnd,
            .age = watermark.end < 0 ? peer::TopicWatermark::UnknownAge : now - watermark.asOf};
}

OperatorsWatermark fromMessage(const peer::TopicWatermark &watermark, Millis now)
{
    return {.end = watermark.end, .announcementsEnd = watermark.announcementsEnd, .asOf = now - watermark.age};
}

} // namespace ibislock::feed
