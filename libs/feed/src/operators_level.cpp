#include "ibislock/feed/operators_level.h"

#include "ibislock/platform/listings.h"

#include <algorithm>

namespace ibislock::feed
{

namespace
{

/// How long the store holds a read of a VM that tells others back, as a part of the time in which a desired state must
/// be in force. A read whose answer was lost is noticed after this time and that of a call.
constexpr double HoldPart = 0.45;

/// The same for a VM that no other confirms, as after a start of all.
constexpr double LazyHoldPart = 0.9;

/// How long other VMs are relied on, as a part of that time: they read once in `HoldPart` and tell it with their loads.
constexpr double LazyPart = 0.8;

Millis partOf(Millis time, double part)
{
    return Millis{static_cast<std::int64_t>(static_cast<double>(time.count()) * part)};
}

} // namespace

FeedOptions operatorsFeedOptions(Millis stateTime)
{
    return {.topic = std::string(platform::OperatorsTopic),
            .wait = partOf(stateTime, HoldPart),
            .lazyWait = partOf(stateTime, LazyHoldPart),
            .lazyTime = partOf(stateTime, LazyPart),
            .newestOnly = true};
}

bool mergeLevel(OperatorsLevel &level, const OperatorsLevel &other)
{
    if (other.end < level.end) {
        return false;
    }
    const bool news = other.end > level.end;
    level = {.end = other.end,
             .namingsEnd = std::max(level.namingsEnd, other.namingsEnd),
             .asOf = std::max(level.asOf, other.asOf)};
    return news;
}

void noteNaming(OperatorsLevel &level, std::int64_t offset)
{
    level.namingsEnd = std::max(level.namingsEnd, offset + 1);
}

peer::TopicLevel toMessage(const OperatorsLevel &level, Millis now)
{
    return {.end = level.end,
            .namingsEnd = level.namingsEnd,
            .age = level.end < 0 ? peer::TopicLevel::UnknownAge : now - level.asOf};
}

OperatorsLevel fromMessage(const peer::TopicLevel &level, Millis now)
{
    return {.end = level.end, .namingsEnd = level.namingsEnd, .asOf = now - level.age};
}

} // namespace ibislock::feed
