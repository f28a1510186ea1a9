#include "ibislock/feed/listings_schedule.h"

#include <algorithm>

namespace ibislock::feed
{

Millis fractionOf(Millis drainTime, double fraction)
{
    return Millis{static_cast<std::int64_t>(static_cast<double>(drainTime.count()) * fraction)};
}

Millis requestPause(Millis age, Millis drainTime)
{
    return std::clamp(fractionOf(drainTime, RelayHoldAgeFraction) - age, fractionOf(drainTime, MinRequestPauseFraction),
                      fractionOf(drainTime, RequestPauseFraction));
}

Millis relayHoldTime(Millis age, Millis drainTime)
{
    return std::clamp(fractionOf(drainTime, RelayHoldAgeFraction) - age, Millis{0},
                      fractionOf(drainTime, RelayHoldFraction));
}

Millis timeUntilOwnRead(Millis age, Millis drainTime, double spread)
{
    return std::max(fractionOf(drainTime, OwnReadFraction - OwnReadSpreadFraction * spread) - age, Millis{0});
}

Millis ownReadInterval(Millis age, Millis drainTime)
{
    if (age >= fractionOf(drainTime, LongOutageFraction)) {
        return fractionOf(drainTime, LongOutageReadIntervalFraction);
    }
    return fractionOf(drainTime, age < drainTime ? OwnReadIntervalFraction : OutageReadIntervalFraction);
}

} // namespace ibislock::feed
