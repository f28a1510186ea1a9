// Chooses a target for a request. Full engines get no requests. Entry VMs see the same load reports, some 100 ms old,
// and would all send to the target that seems best; each therefore samples a few targets (power of d choices) and takes
// the one with the shortest prompt backlog: prompts that wait for prefill delay first events more than running requests
// do. Requests of this entry VM that no load report includes yet are added.
//
//     Placement placement = place(table, {.service = "a", .domain = "d", .now = now}, random);

#pragma once

#include "ibislock/base/names.h"
#include "ibislock/base/random.h"
#include "ibislock/serving/placement_domains.h"
#include "ibislock/serving/slot_contention.h"
#include "ibislock/serving/target_table.h"

#include <optional>

#include <set>

namespace ibislock::serving
{

/// A request that is to be placed.
struct PlacementRequest
{
    std::string_view service;
    std::string_view domain; ///< Failure domain of the entry VM; its targets are preferred among equals.
    /// Oldest version of the weights that may serve the request; 0 for any version, and for services without weights.
    std::int64_t minVersion = 0;
    bool engine = false; ///< Whether the service has engines, which can't serve without weights.
    double typicalPromptMs = 0; ///< Prefill time of a typical prompt, in milliseconds.
    Millis expectedDuration{0}; ///< Expected run time of the request; 0 if unknown.
    std::optional<Millis> maxSilence; ///< Leaves out targets that have been silent for longer and don't report.
    bool urgent = true; ///< May take the last free slots.
    const std::set<std::string> *triedTargets = nullptr; ///< Targets to which the request was sent before.
    PlacementDomains domains; ///< The failure domains in which the request may be placed.
    double reservedShare = 0; ///< Share of an engine's slots that is left to more urgent requests.
    SlotContention contention;
    Millis now{0};
};

/// Why a request has no target.
enum class PlacementFailure {
    None, ///< The request has a target.
    Unavailable, ///< The service has no usable target.
    Full, ///< All usable targets are full.
    NotPermitted, ///< All listed targets of the service are outside the regions that the request is restricted to.
    BackingOff, ///< All usable targets have asked for a backoff, or are cold or name limits and leave this VM no turn.
};

/// Names of the reasons in logs.
inline constexpr NameTable<PlacementFailure, 5> PlacementFailureNames{{
    {PlacementFailure::None, "none"},
    {PlacementFailure::Unavailable, "unavailable"},
    {PlacementFailure::Full, "full"},
    {PlacementFailure::NotPermitted, "not_permitted"},
    {PlacementFailure::BackingOff, "backing_off"},
}};

/// The target chosen for a request.
struct Placement
{
    Target *target = nullptr;
    PlacementFailure reason = PlacementFailure::Unavailable;
    double occupancy = 0; ///< Requests per slot of the chosen target, or of the least occupied one if none was chosen.
    Millis backoffUntil{0}; ///< When the first of the targets that back off accepts requests of this VM again.
    Millis suggestedPause{0}; ///< How long the caller should wait in that case.
    int withoutTurn = 0; ///< Targets that were left out because their limits leave this VM no turn.
    int coldWithoutTurn = 0; ///< The same because they are cold or may be.
    int outsideRegions = 0; ///< Targets of the service that were left out because of the request's regions.
    int evacuated = 0; ///< Targets of the service that were left out because their domain is evacuated.
    int leftToOthers = 0; ///< Engines with free slots that were left to other entry VMs.
};

/// How long a request may run past the time at which its target starts to load weights: the load waits for running
/// requests.
inline constexpr Millis WeightsLoadOverlap{300};

/// How long a load report is valid. Targets report at least every 300 ms, and datagrams may be lost. An engine whose VM
/// has stopped reporting may be frozen or partitioned, and gets requests only if no engine reports.
inline constexpr Millis LoadReportLifetime{750};

/// Parameters of target selection.
struct PlacementPolicy
{
    int sampledTargets = 3; ///< 2 misses the best targets too often; with all targets, entry VMs choose alike.
    double engineFullOccupancy = 1.0; ///< Requests per slot at which an engine counts as full; more queue inside it.
    /// Requests per slot at which an engine counts as full for a request that is not `urgent`: it has missed its
    /// latency objective, and its response has not started.
    double lateEngineFullOccupancy = 0.8;
    /// Requests per slot at which a target without an engine counts as full; it queues a few times its slots.
    double plainFullOccupancy = 2.5;
    double usersPerFreeSlot = UsersPerFreeSlot; ///< As in `slot_contention.h`; 0 to use every free slot.
    double crossDomainPenalty = 0.1; ///< Requests per slot that are added to the cost of a target in another domain.
    /// Requests per slot that are added to the cost of a target that isn't known to be warm: it is slow, and warm ones
    /// are preferred until they are half full.
    double coldPenalty = 0.5;
    double fullBatchBacklogMs = 200; ///< Prompt backlog that costs as much as a full batch: half of the shortest
                                     ///< latency objective for a first event.
};

/// Chooses the target of a request.
Placement place(TargetTable &table, const PlacementRequest &request, Random &random,
                const PlacementPolicy &policy = {});

/// Returns whether a target is known to be warm, or its service has no limit for cold ones.
bool isWarm(const Target &target, Millis now);

/// Returns whether the target's VM has reported its load within `LoadReportLifetime`.
bool hasFreshLoad(const Target &target, Millis now);

/// Returns the version of the weights that a target is known to hold; 0 for none.
std::int64_t knownVersion(const Target &target, Millis now);

/// Estimates the number of requests that a target holds.
double estimatedRequests(const Target &target, bool engine, Millis now);

/// Estimates how long an engine is busy with prefill before it comes to a new prompt, in milliseconds.
double promptBacklogMs(const Target &target, double typicalPromptMs, Millis now);

} // namespace ibislock::serving
