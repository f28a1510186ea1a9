#include "ibislock/serving/cold_start.h"

#include "ibislock/serving/placement.h"

#include <algorithm>
#include <cmath>

namespace ibislock::serving
{

namespace
{

/// Largest fraction of the rate of a cold target that all turns together use; the rest is a margin for entry VMs that
/// know of too few others.
constexpr double MaxUsedFraction = 0.6;

/// Standard deviations of the number of turns in a second that stay below what is allowed in a second. The phases of
/// entry VMs are independent, so that the number is close to a Poisson variable. With 6, no second of 200 replays of 20
/// targets exceeds it, even if a quarter of the entry VMs know of half of the others.
constexpr double TurnDeviations = 6;

/// How long a turn lasts that isn't used. Turns that were kept longer would be used together after a pause.
constexpr Millis TurnLength{300};

/// Fraction of what is allowed in a second that all entry VMs together send to an unproven target in a second. Requests
/// of ten seconds arrive together at a target that was frozen for that long, beside those sent before it was noticed.
constexpr double ProbeFraction = 0.05;

/// How long after a doubt arose a report or a part of a response may still have been sent before its cause: the
/// interval of reports, and the latency of the network.
constexpr Millis ReportDelay{400};

/// A silence after which the target may be cold without having restarted, and requests that were sent to it meanwhile
/// arrive late. Shorter ones occur under load.
constexpr Millis LongSilence{2000};

/// How long a target counts as cold after a long silence of an unchanged incarnation. Its listing says within this time
/// if it is: a heartbeat of 1.2 s, and about 0.8 s until it is read.
constexpr Millis ListingTime{3000};

/// How long after a long silence no turn begins: requests that were under way arrive within this time.
constexpr Millis SettleTime{1000};

/// How long after it may have stopped a target that is still listed without change has not: three missed heartbeats,
/// and the time until the removal is known.
constexpr Millis ListingProofTime{6000};

/// Fraction of the rate that all turns together use.
double usedFraction(const ColdStartTerms &terms)
{
    // The mean m for which m and `TurnDeviations` deviations, each the root of m, are what is allowed.
    const double root = (std::sqrt(TurnDeviations * TurnDeviations + 4 * allowedInSecond(terms)) - TurnDeviations) / 2;
    return std::min(MaxUsedFraction, root * root / terms.perSecond);
}

LimitTerms turnTerms(const ColdTarget &cold, ColdPhase phase, Millis now)
{
    if (phase == ColdPhase::Unproven) {
        return {.perSecond = allowedInSecond(cold.terms),
                .entryVms = sharersOf(cold, now),
                .usedFraction = ProbeFraction,
                .turnLength = TurnLength};
    }
    return {.perSecond = cold.terms.perSecond,
            .entryVms = sharersOf(cold, now),
            .usedFraction = usedFraction(cold.terms),
            .turnLength = TurnLength};
}

/// Returns since when the target may have restarted.
std::optional<Millis> doubtSince(const ColdTarget &cold, Millis now)
{
    if (cold.doubtSince) {
        return cold.doubtSince;
    }
    const bool silent = cold.reports && now - cold.heardAt >= LoadReportLifetime;
    return silent ? std::optional(cold.heardAt) : std::nullopt;
}

/// Records that a target is alive; no turn begins soon after a long silence.
void recordAlive(ColdTarget &cold, Millis now)
{
    const bool longSilence = cold.heardAt > Millis{0} && now - cold.heardAt >= LongSilence;
    if (longSilence) {
        cold.startColdUntil = std::max(cold.startColdUntil, now + ListingTime);
        cold.settledAt = now + SettleTime;
    }
    cold.heardAt = now;
    cold.doubtSince.reset();
}

/// Records that the last known incarnation is alive.
void recordUnchanged(ColdTarget &cold, Millis now)
{
    recordAlive(cold, now);
    cold.assumedColdUntil = Millis{0};
}

/// Records that a target is alive, and that it may have restarted.
void recordAliveUnknown(ColdTarget &cold, Millis now)
{
    recordAlive(cold, now);
    cold.assumedColdUntil = std::max(cold.assumedColdUntil, now + cold.terms.duration);
}

void recordStart(ColdTarget &cold, std::int64_t startedAt, Millis coldFor, Millis now)
{
    // A report that was long under way may be of an incarnation before the known one.
    const bool later = startedAt > cold.startedAt;
    cold.startedAt = startedAt;
    cold.startColdUntil = std::max(cold.startColdUntil, now + (later ? coldFor : cold.terms.duration));
    cold.listedColdUntil = Millis{0};
    cold.assumedColdUntil = Millis{0};
    cold.doubtSince.reset();
    cold.sharersSince = Millis{0};
}

} // namespace

EntryVmCount assumedSharers(Millis now)
{
    return {.largest = 1,
            .largestBefore = AssumedSharers,
            .windowStart = now - (SharersWindow - SharersUnknownTime),
            .window = SharersWindow};
}

void recordSharers(ColdTarget &cold, int reported, Millis now)
{
    if (reported > 0) {
        recordEntryVms(cold.sharers, reported, now);
        cold.sharersSince = cold.sharersSince == Millis{0} ? now : cold.sharersSince;
    }
}

int sharersOf(const ColdTarget &cold, Millis now)
{
    const int reported = serving::entryVms(cold.sharers);
    const bool counted = cold.sharersSince > Millis{0} && now - cold.sharersSince >= SharersUnknownTime;
    return counted ? reported : std::max(reported, cold.entryVms);
}

bool isLimited(const ColdStartTerms &terms)
{
    return terms.duration > Millis{0} && terms.perSecond > 0;
}

double allowedInSecond(const ColdStartTerms &terms)
{
    return terms.perSecond * terms.overshoot + terms.slack;
}

void recordListing(ColdTarget &cold, const ListedStart &listed, Millis now)
{
    const bool known = cold.startedAt != 0;
    const bool sameStart = listed.startedAt == 0 || listed.startedAt == cold.startedAt;
    if (known && !sameStart && cold.reports && listed.startedAt < cold.startedAt) {
        return; // Written before the incarnation that the target's VM has reported.
    }
    if (known && !sameStart) {
        recordStart(cold, listed.startedAt, cold.terms.duration, now);
    }
    cold.startedAt = listed.startedAt != 0 ? listed.startedAt : cold.startedAt;
    const bool hasWarmed = cold.listedColdUntil > Millis{0} && listed.coldLeft == Millis{0};
    cold.listedColdUntil = listed.coldLeft > Millis{0} ? now + listed.coldLeft : Millis{0};
    cold.startColdUntil = hasWarmed ? Millis{0} : cold.startColdUntil;
}

void recordUnlisted(ColdTarget &cold, Millis now)
{
    cold.doubtSince = cold.doubtSince.value_or(now);
}

void recordEngineReport(ColdTarget &cold, const ReportedStart &reported, Millis now)
{
    if (reported.startedAt == 0) {
        if (doubtSince(cold, now)) {
            recordAliveUnknown(cold, now);
        }
        cold.heardAt = now;
        return;
    }
    const bool known = cold.startedAt != 0;
    cold.reports = true;
    if (known && reported.startedAt != cold.startedAt) {
        recordAlive(cold, now);
        recordStart(cold, reported.startedAt, std::max(cold.terms.duration - reported.runningFor, Millis{0}), now);
        return;
    }
    cold.startedAt = reported.startedAt;
    if (!cold.doubtSince || now - *cold.doubtSince >= ReportDelay) {
        recordUnchanged(cold, now);
    }
}

void recordHeard(ColdTarget &cold, Millis sentAt, Millis now)
{
    const std::optional<Millis> doubt = doubtSince(cold, now);
    if (!doubt) {
        cold.heardAt = now;
    } else if (sentAt >= *doubt) {
        recordAliveUnknown(cold, now);
    } else if (now - *doubt >= ReportDelay) {
        recordUnchanged(cold, now);
    }
}

void recordConnectionLoss(ColdTarget &cold, bool refused, Millis now)
{
    if (refused || !cold.reports) {
        cold.doubtSince = cold.doubtSince.value_or(now);
    }
}

void recordListingsConfirmed(ColdTarget &cold, Millis asOf)
{
    // The reports of a target that has them show more.
    if (!cold.reports && cold.doubtSince && asOf - *cold.doubtSince >= ListingProofTime) {
        cold.doubtSince.reset();
    }
}

void recordPossiblyCold(ColdTarget &cold, Millis from)
{
    cold.startColdUntil = std::max(cold.startColdUntil, from + cold.terms.duration);
}

ColdPhase phaseOf(const ColdTarget &cold, Millis now)
{
    if (doubtSince(cold, now)) {
        return ColdPhase::Unproven;
    }
    const Millis until = std::max({cold.listedColdUntil, cold.startColdUntil, cold.assumedColdUntil});
    return now < until ? ColdPhase::Cold : ColdPhase::Warm;
}

void updateTurns(ColdTarget &cold, Random &random, Millis now)
{
    const ColdPhase phase = phaseOf(cold, now);
    if (phase == ColdPhase::Warm) {
        cold.turns.reset();
        cold.turnsFor = phase;
        return;
    }
    const LimitTerms terms = turnTerms(cold, phase, now);
    if (cold.turns && cold.turnsFor == phase) {
        changeLimit(*cold.turns, terms, random, now);
        return;
    }
    // Requests of the phase before may have been sent just now.
    cold.turns = startLimit(terms, random, std::max(now, cold.settledAt));
    cold.turnsFor = phase;
}

bool mayReceive(ColdTarget &cold, Random &random, Millis now)
{
    updateTurns(cold, random, now);
    return !cold.turns || hasTurn(*cold.turns, now);
}

Millis nextColdTurn(const ColdTarget &cold, Millis now)
{
    return cold.turns ? nextTurn(*cold.turns, now) : now;
}

Millis suggestedColdPause(const ColdTarget &cold, Millis now)
{
    if (!cold.turns) {
        return Millis{0};
    }
    return std::min(nextColdTurn(cold, now) - now, cold.turns->interval / std::max(cold.turns->terms.entryVms, 1));
}

void takeColdTurn(ColdTarget &cold, Millis now)
{
    if (cold.turns) {
        takeTurn(*cold.turns, now);
    }
}

} // namespace ibislock::serving
