#include "ibislock/serving/request_limit.h"

#include <algorithm>
#include <cmath>

namespace ibislock::serving
{

namespace
{

/// Fraction of a limit that entry VMs use which keep their turns until they use them.
constexpr double KeptFraction = 0.7;

/// Fraction of a limit that entry VMs use which lose their turns; the phases of many may coincide.
constexpr double LostFraction = 0.5;

/// In any 4 s a target may get the requests of this many seconds at its limit, and `AllowedBurst` requests more.
constexpr double AllowedSeconds = 1.5 * 4;
constexpr double AllowedBurst = 5; ///< Requests.

/// Entry VMs keep their turns if all of them together send at most this fraction of that, however they use them; the
/// rest is a margin for entry VMs that joined unnoticed.
constexpr double KeptShareOfAllowed = 0.75;

/// The time in which requests are sent that may arrive within 4 s.
constexpr double ArrivalSeconds = 5;

/// How long a turn lasts that is lost if it isn't used.
constexpr Millis LostTurnLength{500};

/// Lower limits are treated as this one: only a response shows that the limit has ended.
constexpr double MinPerSecond = 0.2; ///< Requests a second, of all entry VMs together.

/// A bound for intervals, below which arithmetic with times can't overflow.
constexpr double MaxIntervalMs = 1e9;

/// Returns whether the limit holds even if all entry VMs use the turns that they have kept at the same moment.
bool keepsTurns(double perSecond, double entryVms)
{
    const double sendsOfEach = 1 + std::floor(ArrivalSeconds * KeptFraction * perSecond / entryVms);
    return entryVms * sendsOfEach <= KeptShareOfAllowed * (AllowedSeconds * perSecond + AllowedBurst);
}

void applyTerms(RequestLimit &limit, const LimitTerms &terms)
{
    const double perSecond = std::max(terms.perSecond, MinPerSecond);
    const double entryVms = std::max(terms.entryVms, 1);
    const bool kept = keepsTurns(perSecond, entryVms);
    const double chosenFraction = kept ? KeptFraction : LostFraction;
    const double fraction = terms.usedFraction > 0 ? terms.usedFraction : chosenFraction;
    const double intervalMs = 1000 * entryVms / (perSecond * fraction);
    limit.terms = terms;
    limit.interval = Millis{static_cast<std::int64_t>(std::ceil(std::min(intervalMs, MaxIntervalMs)))};
    const Millis chosenLength = kept ? limit.interval : LostTurnLength;
    limit.turnLength = std::min(terms.usedFraction > 0 ? terms.turnLength : chosenLength, limit.interval);
}

/// Returns a time within the interval from now on.
Millis sampleTurn(const RequestLimit &limit, Random &random, Millis now)
{
    return now + Millis{std::uniform_int_distribution<std::int64_t>(1, limit.interval.count())(random)};
}

/// Returns the start of the turn that is open at a time, or of the next one.
Millis turnFrom(const RequestLimit &limit, Millis now)
{
    const bool keepsTurn = limit.turnLength == limit.interval;
    if (now < limit.turnAt + limit.turnLength || keepsTurn) {
        return limit.turnAt;
    }
    const std::int64_t past = (now - limit.turnAt - limit.turnLength) / limit.interval + 1;
    return limit.turnAt + past * limit.interval;
}

} // namespace

RequestLimit startLimit(const LimitTerms &terms, Random &random, Millis now)
{
    RequestLimit out{.terms = terms, .learnedAt = now};
    applyTerms(out, terms);
    out.turnAt = sampleTurn(out, random, now);
    return out;
}

void changeLimit(RequestLimit &limit, const LimitTerms &terms, Random &random, Millis now)
{
    if (terms == limit.terms) {
        return;
    }
    const Millis wait = nextTurn(limit, now) - now;
    const Millis before = limit.interval;
    applyTerms(limit, terms);
    if (wait == Millis{0} && limit.interval > before) {
        limit.turnAt = sampleTurn(limit, random, now);
        return;
    }
    const double ratio = static_cast<double>(limit.interval.count()) / static_cast<double>(before.count());
    limit.turnAt = now + Millis{static_cast<std::int64_t>(std::ceil(static_cast<double>(wait.count()) * ratio))};
}

bool hasTurn(const RequestLimit &limit, Millis now)
{
    return now >= turnFrom(limit, now);
}

Millis nextTurn(const RequestLimit &limit, Millis now)
{
    return std::max(now, turnFrom(limit, now));
}

void takeTurn(RequestLimit &limit, Millis now)
{
    limit.turnAt = now + limit.interval;
}

} // namespace ibislock::serving
