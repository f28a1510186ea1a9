// The targets that an entry VM may use: what the platform lists, and what their load was last.
//
//     TargetTable table;
//     applyEntry(table, "i-1", entry, now);
//     applyLoad(table, "i-1", {.running = 3, .at = now});

#pragma once

#include "ibislock/base/clock.h"
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

/// What the platform lists of a target.
struct TargetEntry
{
    std::string id;
    std::string service;
    std::string address; ///< IP:PORT
    std::string domain; ///< The failure domain.
    int slots = 0; ///< Requests that it works on at once.
    bool draining = false;
    std::int64_t startedAt = 0; ///< Unix milliseconds; 0 if unknown. Differs between two lives under one id.
    std::vector<ServedModel> models;

    bool operator==(const TargetEntry &) const = default;
};

/// The load of a target as its own VM reports it.
struct TargetLoad
{
    int running = 0;
    int queued = 0;
    std::int64_t version = 0; ///< Of the weights; 0 while it holds none.
    bool loading = false; ///< Takes no request until its weights are loaded.
    std::optional<Millis> loadStartsAt; ///< When it will take no more requests in order to load.
    Millis receivedAt{0}; ///< When it arrived here.
};

/// How requests to a target have ended lately.
struct TargetHealth
{
    int consecutiveFailures = 0;
    Millis ejectedUntil{0}; ///< Gets no request before.
};

/// A request that this entry VM has sent.
struct RecentAttempt
{
    Millis sentAt{0};
    double promptMs = 0; ///< How long its prompt takes to read.
};

/// A target with everything that placement looks at.
struct Target
{
    TargetEntry entry;
    std::optional<TargetLoad> load;
    TargetHealth health;
    int inFlight = 0; ///< Requests of this entry VM.
    std::deque<RecentAttempt> recentAttempts; ///< The last requests of this entry VM.
    Millis loadCoversUntil{0}; ///< Requests that were sent later are not in the load.
    std::optional<Millis> expiringSince; ///< The listing was lost in an outage of the store.
    TargetSignals signals; ///< What the target itself has said in this life.
};

/// What a target that is no longer listed has said, kept in case its listing comes back.
struct RetainedSignals
{
    TargetSignals signals;
    Millis since{0}; ///< When its listing was lost.
};

/// How long such a notice is kept; a target that was lost for longer has been replaced.
inline constexpr Millis RetainedSignalsLifetime{std::chrono::minutes{10}};

/// All targets by id.
struct TargetTable
{
    std::map<std::string, Target, std::less<>> targets;
    std::map<std::string, RetainedSignals, std::less<>> retainedSignals; ///< By id.
    Millis storeRecoveredAt{0}; ///< When the store last came back.
    bool storeUnreachable = false;
};

/// How long a listing that was lost in an outage may take to come back; from the platform's description.
inline constexpr Millis ListingGracePeriod{2000};

/// Takes over what the platform lists under an id now.
/// @param entry nothing if the listing was removed or can't be read.
void applyEntry(TargetTable &table, const std::string &id, std::optional<TargetEntry> entry, Millis now);

/// Replaces all listings; targets that are not among them are handled as removed.
void replaceEntries(TargetTable &table, std::vector<TargetEntry> entries, Millis now);

/// Notes whether the store answers.
void recordStoreState(TargetTable &table, bool away, Millis now);

/// Notes that the store came back from an outage that another VM noticed.
/// @param at when.
void recordStoreRecovery(TargetTable &table, Millis at);

/// Drops targets whose lost listing has not come back in time.
void expireListings(TargetTable &table, Millis now);

/// Takes over a reported load.
/// @param showsUntil requests that were sent later are not in the load.
void applyLoad(TargetTable &table, std::string_view id, const TargetLoad &load, Millis showsUntil);

/// Gives access to what a target has said in one life.
/// @param startedAt the life that the request was sent to.
/// @return the notice; null if another life is listed by now.
TargetSignals *signalsOf(TargetTable &table, std::string_view id, std::int64_t startedAt, Millis now);

/// How many times of sends are kept; more than one entry VM sends to one target between two reports.
inline constexpr std::size_t MaxRecentAttempts = 32;

/// Notes that a request was sent to a target.
/// @param promptMs how long its prompt takes to read; 0 for plain services.
void recordAttempt(Target &target, Millis now, double promptMs);

/// Failures in a row after which a target is avoided; one or two are also seen under load.
inline constexpr int EjectionFailureThreshold = 3;

/// How long a failing target is avoided for the first time; a restart takes seconds.
inline constexpr Millis BaseEjectionTime{1000};

/// Notes how a request to a target ended.
void recordOutcome(Target &target, bool good, Millis now);

} // namespace ibislock::serving
