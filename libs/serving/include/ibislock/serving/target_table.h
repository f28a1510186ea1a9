// The targets that an entry VM may use, with their listings on the platform and their last reported load.
//
//     TargetTable table;
//     applyEntry(table, "i-1", entry, now);
//     applyLoad(table, "i-1", {.running = 3, .receivedAt = now}, now);

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/serving/cold_start.h"
#include "ibislock/serving/target_signals.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibislock::serving
{

/// A model that a target serves.
struct ServedModel
{
    std::string name;
    std::int64_t version = 0;

    bool operator==(const ServedModel &) const = default;
};

/// The listing of a target on the platform.
struct TargetEntry
{
    std::string id;
    std::string service;
    std::string address; ///< IP:PORT
    std::string domain; ///< The failure domain.
    int slots = 0; ///< Requests that the target processes concurrently.
    bool draining = false;
    std::int64_t startedAt = 0; ///< Unix milliseconds, 0 if unknown. Distinguishes incarnations under the same id.
    Millis coldLeft{0}; ///< How much longer it is cold; 0 if its service has no limit for cold targets.
    std::vector<ServedModel> models;
    bool hasEngine = false; ///< It is listed as one that loads weights, whether it has loaded any or not.

    bool operator==(const TargetEntry &) const = default;
};

/// The load of a target as its own VM reports it.
struct TargetLoad
{
    int running = 0;
    int queued = 0;
    std::int64_t version = 0; ///< Version of the loaded weights; 0 if none are loaded.
    bool loading = false; ///< Accepts no request until its weights are loaded.
    std::optional<Millis> loadStartsAt; ///< When it stops accepting requests in order to load weights.
    Millis receivedAt{0}; ///< When this VM received the report.
};

/// Recent outcomes of requests to a target.
struct TargetHealth
{
    int consecutiveFailures = 0;
    Millis ejectedUntil{0}; ///< Gets no request before this time.
    bool silent = false; ///< The last failure was a silence, which ends with the next thing that the target sends.
};

/// A request that this entry VM has sent to a target.
struct RecentAttempt
{
    Millis sentAt{0};
    double promptMs = 0; ///< Prefill time of the prompt, in milliseconds.
};

/// A random number that decides whether this VM uses slots that one load report shows as free.
struct SlotDraw
{
    Millis reportAt{0}; ///< The report for which it was drawn; 0 for none.
    double value = 0; ///< At least 0 and below 1.
};

/// A target with all data that placement uses.
struct Target
{
    TargetEntry entry;
    Millis listedAt{0}; ///< When the listing arrived.
    std::optional<TargetLoad> load;
    TargetHealth health;
    int inFlight = 0; ///< Requests of this entry VM that are in flight at the present incarnation.
    Millis heardAt{0}; ///< When it last sent something to this entry VM, or got a request with no other in flight.
    std::deque<RecentAttempt> recentAttempts; ///< The last requests of this entry VM.
    std::deque<Millis> recentEnds; ///< When the last requests of this entry VM ended there.
    SlotDraw slotDraw;
    Millis loadCoversUntil{0}; ///< Requests sent after this time are not included in the load.
    std::optional<Millis> expiringSince; ///< When the removal of the listing was learned, if it may return.
    TargetSignals signals; ///< Signals of the present incarnation.
    std::optional<ColdTarget> cold; ///< None if its service has no limit for cold targets.
};

/// What is retained of a target that is no longer listed, in case the same incarnation is listed again.
struct RetainedTarget
{
    TargetSignals signals;
    std::string address;
    int inFlight = 0; ///< As in `Target`.
    std::optional<ColdTarget> cold; ///< As in `Target`, also for another incarnation.
    Millis since{0}; ///< When the listing was removed, or the last signal after that was received.
};

/// How long an unlisted target is retained; one that is gone for longer has been replaced.
inline constexpr Millis RetainedTargetLifetime{std::chrono::minutes{10}};

/// All targets by id.
struct TargetTable
{
    std::map<std::string, Target, std::less<>> targets;
    std::map<std::string, RetainedTarget, std::less<>> retainedTargets; ///< By id of the target.
    std::map<std::string, ColdStartTerms, std::less<>> coldTerms; ///< By service; those with a limit only.
    int coldEntryVms = 1; ///< Number of entry VMs that share the turns at cold targets.
    Millis storeRecoveredAt{0}; ///< When the store last recovered from an outage in which listings may have expired.
};

/// Grace period for a listing that was removed during a store outage to be published again, as the platform specifies.
inline constexpr Millis ListingGracePeriod{2000};

/// Applies the present listing of an id. An incarnation that has said that it leaves gets no more requests, whatever is
/// listed of it afterwards; a listing of an earlier incarnation is then a write that was late. An entry without the
/// start of its incarnation counts as one of the incarnation that is known.
/// @param entry nothing if the listing was removed or can't be decoded.
void applyEntry(TargetTable &table, const std::string &id, std::optional<TargetEntry> entry, Millis now);

/// Applies what the desired state and the contract say of cold targets. What is known of a target is kept while its
/// service has a limit.
/// @param terms by service; those with a limit only.
void applyColdTerms(TargetTable &table, std::map<std::string, ColdStartTerms, std::less<>> terms);

/// Applies the number of entry VMs that share the turns at cold targets.
void applyColdEntryVms(TargetTable &table, int entryVms);

/// Records that the targets of a failure domain may be cold from a time on, as at the end of its evacuation.
void recordDomainPossiblyCold(TargetTable &table, std::string_view domain, Millis from);

/// Replaces all listings; targets that are not among them are treated as removed.
void replaceEntries(TargetTable &table, std::vector<TargetEntry> entries, Millis now);

/// Records that the store recovered from an outage in which listings of live targets may have expired. Listings that
/// are removed within `ListingGracePeriod` count as expired.
/// @param at the time of the recovery.
void recordStoreRecovery(TargetTable &table, Millis at);

/// Removes targets whose listing did not return within `ListingGracePeriod`, and retained ones that are too old. Not to
/// be called while the listings aren't current, as one may have returned.
void expireListings(TargetTable &table, Millis now);

/// Applies a reported load.
/// @param coversUntil requests sent after this time are not included in the load.
void applyLoad(TargetTable &table, std::string_view id, const TargetLoad &load, Millis coversUntil);

/// Returns the signals of one incarnation of a target, also of one that is no longer listed.
/// @param startedAt the incarnation to which the request was sent.
/// @return the signals; null if another incarnation is listed by now.
TargetSignals *signalsOf(TargetTable &table, std::string_view id, std::int64_t startedAt, Millis now);

/// Number of recent attempts that are kept; an entry VM sends fewer to one target between two load reports.
inline constexpr std::size_t MaxRecentAttempts = 32;

/// Applies a new number of entry VMs to all limits.
void applyEntryVms(TargetTable &table, int entryVms, Random &random, Millis now);

/// Records that a request was sent to a target, and ends this VM's turn if the target names a limit.
/// @param promptMs the prefill time of its prompt, in milliseconds; 0 for plain services.
void recordAttempt(Target &target, Millis now, double promptMs);

/// Records that a request of this VM has ended at a target and left its slot.
void recordEnd(Target &target, Millis now);

/// Returns for how long a target has sent nothing while requests of this VM were in flight there; 0 if none is.
Millis silenceOf(const Target &target, Millis now);

/// Number of consecutive failures after which a target is ejected; one or two also occur under load.
inline constexpr int EjectionFailureThreshold = 3;

/// How long a target is ejected the first time; a restart takes seconds.
inline constexpr Millis BaseEjectionTime{1000};

/// Records whether a request to a target succeeded. The ejection time doubles with each further failure, twice at most.
void recordOutcome(Target &target, bool success, Millis now);

} // namespace ibislock::serving
