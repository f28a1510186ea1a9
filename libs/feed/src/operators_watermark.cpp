#include "ibislock/feed/operators_watermark.h"

#include "ibislock/platform/listings.h"

#include <algorithm>

namespace ibislock::feed
{

namespace
{

/// How long the store may hold a read of a VM that reports to others, as a fraction of the time within which a desired
/// state must take effect. A read whose response was lost times out after this time and that of a call.
constexpr double LongPollFraction = 0.45;

/// The same for a passive VM whose state no other VM validates, as after all VMs were started. After a lost response
/// there is time for the timeout of that call and another read.
constexpr double PassiveLongPollFraction = 0.5;

/// How long a validation by other VMs is relied on, as a fraction of that time: they read once in `LongPollFraction`
/// and report the result with their loads.
constexpr double ValidityFraction = 0.8;

/// After which time a read of records that are known to exist is repeated beside the first one. A VM whose sources fail
/// reads when half of the time is left, so that one or two responses may be lost.
constexpr double RepeatFraction = 0.2;

/// The limit of `FeedOptions::minCancelAge`.
constexpr double CancelAgeFraction = 0.25;

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
            .repeatTime = fractionOf(stateTime, RepeatFraction),
            .minCancelAge = std::min(fractionOf(stateTime, CancelAgeFraction), MinCancelAge),
            .newestOnly = true};
}

bool mergeWatermark(OperatorsWatermark &watermark, const OperatorsWatermark &other)
{
    if (other.end < watermark.end) {
        return false;
    }
    const bool advanced = other.end > watermark.end;
    const bool sameEra = other.end.era == watermark.end.era;
    watermark = {.end = other.end,
                 .announcementsEnd = std::max(watermark.announcementsEnd, other.announcementsEnd),
                 .asOf = sameEra ? std::max(watermark.asOf, other.asOf) : other.asOf};
    return advanced;
}

void recordAnnouncementPosition(OperatorsWatermark &watermark, const TopicPosition &position)
{
    watermark.announcementsEnd = std::max(watermark.announcementsEnd, advancedBy(position, 1));
}

peer::TopicWatermark toMessage(const OperatorsWatermark &watermark, Millis now)
{
    return {.end = watermark.end,
            .announcementsEnd = watermark.announcementsEnd,
            .age = !watermark.end.isKnown() ? peer::TopicWatermark::UnknownAge : now - watermark.asOf};
}

OperatorsWatermark fromMessage(const peer::TopicWatermark &watermark, std::optional<Millis> sentAfter)
{
    return {.end = watermark.end,
            .announcementsEnd = watermark.announcementsEnd,
            .asOf = sentAfter.value_or(Millis{0}) - (sentAfter ? watermark.age : peer::TopicWatermark::UnknownAge)};
}

} // namespace ibislock::feed
