// Targets that are cold, i.e. slow for some time after they start, and crash if they get too many requests meanwhile.
// Decides from listings, load reports, responses and failures until when a target counts as cold, and whether this
// entry VM may send it a request now. The load pattern is a failure domain whose targets restart behind a partition:
// all entry VMs find them free at the same moment. They exchange no messages; each uses turns of its own
// (`request_limit.h`), of which all together use a part of what a cold target takes. All times are of the monotonic
// clock of this VM, so that clocks of VMs that differ do no harm; the start of an incarnation is only compared for
// equality, or for order under the same id.
//
//     recordListing(cold, {.startedAt = entry.startedAt, .coldLeft = entry.coldLeft}, now);
//     recordEngineReport(cold, {.startedAt = report.startedAt, .runningFor = report.runningFor}, now);
//     if (mayReceive(cold, random, now)) { takeColdTurn(cold, now); ... }

#pragma once

#include "ibislock/base/names.h"
#include "ibislock/serving/entry_vm_count.h"
#include "ibislock/serving/request_limit.h"

#include <cstdint>
#include <optional>

namespace ibislock::serving
{

/// What the contract says of the cold targets of a service.
struct ColdStartTerms
{
    Millis duration{0}; ///< How long a target is cold after its start; 0 if never.
    double perSecond = 0; ///< Requests a second that a cold target takes from all entry VMs together; 0 for no limit.
    double overshoot = 1; ///< In no second may it get more requests than `perSecond` times this and `slack`.
    double slack = 0; ///< Requests.

    bool operator==(const ColdStartTerms &) const = default;
};

/// Returns whether targets of a service are limited while they are cold.
bool isLimited(const ColdStartTerms &terms);

/// Returns the largest number of requests that a cold target may get in any second from all entry VMs together.
double allowedInSecond(const ColdStartTerms &terms);

/// What is known of a target's temperature.
enum class ColdPhase {
    Warm, ///< Gets any number of requests.
    Cold, ///< Gets requests in turns.
    Unproven, ///< May have restarted and may be unreachable: gets very few, as those under way may arrive together.
};

/// External names of the phases.
inline constexpr NameTable<ColdPhase, 3> ColdPhaseNames{{
    {ColdPhase::Warm, "warm"},
    {ColdPhase::Cold, "cold"},
    {ColdPhase::Unproven, "unproven"},
}};

/// The largest number of entry VMs that was reported in this time counts, and of up to as long before. A failure domain
/// that was isolated for less has not forgotten the others when it returns.
inline constexpr Millis SharersWindow{60000};

/// Until a VM has run for this time, others may not have made themselves known to those that report their number.
inline constexpr Millis SharersUnknownTime{6000};

/// Number of entry VMs that is assumed until then; more than present deployments have in two of three domains.
inline constexpr int AssumedSharers = 64;

/// Returns the count of a VM that starts now.
EntryVmCount assumedSharers(Millis now);

/// What an entry VM knows of the temperature of one target, over all of its incarnations. Kept only for services whose
/// cold targets are limited.
struct ColdTarget
{
    ColdStartTerms terms;
    int entryVms = 1; ///< Number of entry VMs, as far as is known.
    EntryVmCount sharers{.largest = 0, .largestBefore = 0, .window = SharersWindow}; ///< That get its load reports.
    Millis sharersSince{0}; ///< When the first load report of the present incarnation arrived; 0 before.
    std::int64_t startedAt = 0; ///< Start of the last known incarnation in Unix milliseconds; 0 if unknown.
    bool reports = false; ///< The target's VM has reported the start of its incarnation, and is expected to go on.
    Millis heardAt{0}; ///< Last sign of life: a report, or part of a response; 0 before the first one.
    Millis listedColdUntil{0}; ///< As its listing says.
    Millis startColdUntil{0}; ///< Because of a start, a long silence or an evacuation that this VM knows of.
    Millis assumedColdUntil{0}; ///< Because it is alive but may have restarted; ends when it is known that it has not.
    std::optional<Millis> doubtSince; ///< May have restarted since then; no sign of life shows anything else.
    Millis settledAt{0}; ///< No turn begins before, as requests that were under way may arrive.
    std::optional<RequestLimit> turns; ///< None while the target is warm.
    ColdPhase turnsFor = ColdPhase::Warm; ///< The phase for which the turns were started.
};

/// What a listing says of a target.
struct ListedStart
{
    std::int64_t startedAt = 0; ///< Start of the incarnation in Unix milliseconds; 0 if unknown.
    Millis coldLeft{0}; ///< How much longer it is cold.
};

/// What the target's own VM reports of the present incarnation.
struct ReportedStart
{
    std::int64_t startedAt = 0; ///< Start of the incarnation in Unix milliseconds; 0 from VMs of earlier versions.
    Millis runningFor{0}; ///< Measured on that VM.
};

/// Records the listing of a target. An incarnation that replaces a known one is cold. The first one that this VM knows
/// of is cold only if its listing says so: at the start of a deployment nothing is.
void recordListing(ColdTarget &cold, const ListedStart &listed, Millis now);

/// Records that a target is no longer listed; it may be listed again without or after a restart.
void recordUnlisted(ColdTarget &cold, Millis now);

/// Records a load report. It shows that the incarnation is unchanged, or names a new one.
void recordEngineReport(ColdTarget &cold, const ReportedStart &reported, Millis now);

/// Records how many entry VMs get the target's load reports. Others hardly send to it.
/// @param reported 0 from VMs of earlier versions.
void recordSharers(ColdTarget &cold, int reported, Millis now);

/// Returns the number of entry VMs that share the turns.
int sharersOf(const ColdTarget &cold, Millis now);

/// Records that part of a response has arrived.
/// @param sentAt when the request was sent. Connections don't outlive an incarnation, so that a response to an earlier
/// request shows that the incarnation is unchanged.
void recordHeard(ColdTarget &cold, Millis sentAt, Millis now);

/// Records that a request could not be sent or lost its connection.
/// @param refused whether the target refused or closed the connection, as opposed to a time-out, which shows nothing if
/// the target's VM reports.
void recordConnectionLoss(ColdTarget &cold, bool refused, Millis now);

/// Records that listings as of a time confirm the last known incarnation. A target that has stopped is no longer listed
/// after some heartbeats, and one that has restarted is listed as a new incarnation.
/// @param asOf when the listings were the present ones.
void recordListingsConfirmed(ColdTarget &cold, Millis asOf);

/// Records that a target may be cold from a time on for as long as after a start, e.g. as it got no requests.
void recordPossiblyCold(ColdTarget &cold, Millis from);

/// Returns what is known of a target's temperature.
ColdPhase phaseOf(const ColdTarget &cold, Millis now);

/// Applies a number of entry VMs, and starts, changes or ends the turns as the phase requires.
void updateTurns(ColdTarget &cold, Random &random, Millis now);

/// Updates the turns and returns whether this VM may send a request now.
bool mayReceive(ColdTarget &cold, Random &random, Millis now);

/// Returns when this VM may send a request; `now` if it may do so at once. The turns are up to date.
Millis nextColdTurn(const ColdTarget &cold, Millis now);

/// Returns how long a caller should wait that finds no other target: until some entry VM has a turn.
Millis suggestedColdPause(const ColdTarget &cold, Millis now);

/// Ends the turn with a request that is sent now.
void takeColdTurn(ColdTarget &cold, Millis now);

} // namespace ibislock::serving
