// Chooses a target for a request. Answers two loads: engines that are full, which get nothing; and many entry VMs that
// see the same reports, some 100 ms old, and would all send to the one that seems best. So a few targets are drawn, and
// of these the one is taken at which the fewest prompts wait to be read: that, more than what runs, makes first events
// late. Own requests that no report shows yet are added.
//
//     Placement placement = place(table, {.service = "a", .domain = "d", .now = now}, random);

#pragma once

#include "ibislock/base/random.h"
#include "ibislock/serving/target_table.h"

#include <set>

namespace ibislock::serving
{

/// What is to be placed.
struct PlacementRequest
{
    std::string_view service;
    std::string_view domain; ///< Of the entry VM; its targets are taken first among equals.
    std::int64_t minVersion = 0; ///< The oldest weights that may serve; 0 for any, and for services without weights.
    bool engine = false; ///< Whether the service has engines, which serve nothing without weights.
    double typicalPromptMs = 0; ///< How long an engine reads a usual prompt.
    Millis expectedDuration{0}; ///< How long it is expected to run; 0 if unknown.
    bool urgent = true; ///< May take the last free slots.
    const std::set<std::string> *triedTargets = nullptr; ///< Targets that the request was sent to before.
    Millis now{0};
};

/// Why a request has no target.
enum class PlacementFailure {
    None, ///< It has one.
    Unavailable, ///< The service has no usable target.
    Full, ///< All usable targets are full.
    BackingOff, ///< All usable targets have asked for a pause.
};

/// Where a request goes.
struct Placement
{
    Target *target = nullptr;
    PlacementFailure reason = PlacementFailure::Unavailable;
    double occupancy = 0; ///< Of the target that was chosen, or of the least occupied, in requests per slot.
    Millis backoffUntil{0}; ///< When the first of the targets that asked for a pause takes requests again.
};

/// By how much a request may outlast the time at which its target begins to load: the load waits for what runs.
inline constexpr Millis WeightsLoadOverlap{300};

/// How old a report may be; targets report each 300 ms at least, and datagrams are lost at times. An engine whose VM
/// has stopped to report may be frozen or cut off, and gets requests only if no other reports.
inline constexpr Millis LoadReportLifetime{750};

/// How targets are chosen.
struct PlacementPolicy
{
    int sampledTargets = 3; ///< With two, the best are missed too often; with all, entry VMs choose alike.
    double engineFullOccupancy =
        1.0; ///< Requests per slot up to which an engine gets more; beyond, they wait inside it.
    double lateEngineFullOccupancy = 0.8; ///< The same for requests that are late already.
    double plainFullOccupancy =
        2.5; ///< Requests per slot up to which a plain target gets more; it queues a few times its slots.
    double crossDomainPenalty = 0.1; ///< Requests per slot that a target in another domain must have less.
    double fullBatchBacklogMs = 200; ///< Backlog of prompts, in ms, that weighs as much as a full batch: half of the
                                     ///< shortest objective for a first event.
};

/// Chooses the target of a request.
Placement place(TargetTable &table, const PlacementRequest &request, Random &random,
                const PlacementPolicy &policy = {});

/// Tells whether a target's own VM has reported a load lately.
bool hasFreshLoad(const Target &target, Millis now);

/// The version of the weights that a target holds as far as is known; 0 for none.
std::int64_t knownVersion(const Target &target, Millis now);

/// Estimates the requests that a target holds.
double estimatedRequests(const Target &target, bool engine, Millis now);

/// Estimates how long an engine reads prompts before it comes to a new one, in milliseconds.
double promptBacklogMs(const Target &target, double usualPromptMs, Millis now);

} // namespace ibislock::serving
