#include "ibislock/serving/retry_delay.h"

namespace ibislock::serving
{

namespace
{

/// A range of delays.
struct DelayRange
{
    Millis shortest{0};
    Millis longest{0};
};

/// An engine frees a slot every 100 ms; a caller that retries within this range can still get its first event within
/// the latency objective.
constexpr DelayRange FullDelay{Millis{150}, Millis{400}};

/// An engine that lost its weights has loaded them again after some 4 s; a restarted target responds after some
/// seconds.
constexpr DelayRange NoUsableTargetDelay{Millis{1400}, Millis{2200}};

/// The time that it takes to open a connection to another VM.
constexpr DelayRange RedirectDelay{Millis{20}, Millis{100}};

DelayRange delayRange(RefusalCause cause)
{
    switch (cause) {
    case RefusalCause::Full:
        return FullDelay;
    case RefusalCause::NoUsableTarget:
        return NoUsableTargetDelay;
    case RefusalCause::Redirect:
        return RedirectDelay;
    }
    return NoUsableTargetDelay;
}

} // namespace

Millis suggestedRetryDelay(RefusalCause cause, Random &random, Millis unavailableFor)
{
    const DelayRange range = delayRange(cause);
    return unavailableFor
        + Millis{std::uniform_int_distribution<std::int64_t>(range.shortest.count(), range.longest.count())(random)};
}

} // namespace ibislock::serving
