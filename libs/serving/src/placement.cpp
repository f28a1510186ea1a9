#include "ibislock/serving/placement.h"

#include <algorithm>

namespace ibislock::serving
{

namespace
{

/// Factor by which an entry VM multiplies its own requests to estimate those of a target that doesn't report.
constexpr double SilentTargetFactor = 2.0;

bool isUsable(const Target &target, const PlacementRequest &request)
{
    if (target.entry.service != request.service || target.entry.draining || target.signals.draining) {
        return false;
    }
    if (request.now < target.health.ejectedUntil) {
        return false;
    }
    if (request.triedTargets != nullptr && request.triedTargets->contains(target.entry.id)) {
        return false;
    }
    const bool fresh = request.engine && hasFreshLoad(target, request.now);
    if (!fresh && request.maxSilence && silenceOf(target, request.now) > *request.maxSilence) {
        return false;
    }
    if (!request.engine) {
        return true;
    }
    if (fresh && target.load->loading) {
        return false;
    }
    if (fresh && target.load->loadStartsAt
        && request.now + request.expectedDuration > *target.load->loadStartsAt + WeightsLoadOverlap) {
        return false; // It would delay the load, and the engine's other slots would be idle meanwhile.
    }
    const std::int64_t version = knownVersion(target, request.now);
    return version > 0 && version >= request.minVersion;
}

double fullOccupancy(const PlacementRequest &request, const PlacementPolicy &policy)
{
    if (!request.engine) {
        return policy.plainFullOccupancy;
    }
    return (request.urgent ? policy.engineFullOccupancy : policy.lateEngineFullOccupancy) - request.reservedShare;
}

/// Removes the targets whose free slots are left to other entry VMs.
/// @return the number of targets removed.
int leaveToOthers(std::vector<Placement> &available, const PlacementRequest &request, Random &random,
                  const PlacementPolicy &policy)
{
    if (!request.engine || request.contention.entryVms <= 1 || policy.usersPerFreeSlot <= 0) {
        return 0;
    }
    double freeSlots = 0;
    for (const Placement &candidate : available) {
        freeSlots += std::max(0.0, 1 - candidate.occupancy) * std::max(1, candidate.target->entry.slots);
    }
    const double probability = useProbability(request.contention, freeSlots, policy.usersPerFreeSlot);
    const auto removed = std::erase_if(available, [&](const Placement &candidate) {
        return hasFreshLoad(*candidate.target, request.now) && !mayUseSlots(*candidate.target, probability, random);
    });
    return static_cast<int>(removed);
}

/// Targets that back off or have no turn for this VM.
struct BackingOffTargets
{
    std::optional<Millis> until; ///< When the first of them accepts requests.
    Millis pause{0}; ///< The shortest time that a caller should wait.
    int withoutTurn = 0;
    int coldWithoutTurn = 0;
};

void addTarget(BackingOffTargets &targets, const Target &target, Millis now)
{
    const TargetSignals &signals = target.signals;
    const Millis from =
        std::max(acceptsRequestsFrom(signals, now), target.cold ? nextColdTurn(*target.cold, now) : Millis{0});
    const Millis pause =
        std::max(suggestedPause(signals, now), target.cold ? suggestedColdPause(*target.cold, now) : Millis{0});
    targets.pause = targets.until ? std::min(targets.pause, pause) : pause;
    targets.until = std::min(targets.until.value_or(from), from);
    targets.withoutTurn += signals.limit && !hasTurn(*signals.limit, now) ? 1 : 0;
    targets.coldWithoutTurn += target.cold && nextColdTurn(*target.cold, now) > now ? 1 : 0;
}

/// Targets of the service by whether their domains are open to the request.
struct DomainCounts
{
    int listed = 0;
    int outsideRegions = 0;
    int evacuated = 0;
};

/// Counts a target of the service.
/// @return whether its domain is open to the request.
bool addTarget(DomainCounts &counts, DomainExclusion exclusion)
{
    ++counts.listed;
    counts.outsideRegions += exclusion == DomainExclusion::Residency ? 1 : 0;
    counts.evacuated += exclusion == DomainExclusion::Evacuated ? 1 : 0;
    return exclusion == DomainExclusion::None;
}

/// Adds the numbers of targets that were left out to a placement, and the reason if residency left out all of them.
Placement withCounts(Placement placement, const DomainCounts &counts, const PlacementRequest &request)
{
    placement.outsideRegions = counts.outsideRegions;
    placement.evacuated = counts.evacuated;
    const Residency *residency = request.domains.residency;
    const bool restricted = residency != nullptr && isRestricted(*residency);
    const bool allOutside = counts.listed > 0 && counts.outsideRegions == counts.listed;
    if (restricted && (allOutside || permittedRegions(*residency).empty())) {
        placement.reason = PlacementFailure::NotPermitted;
    }
    return placement;
}

} // namespace

std::int64_t knownVersion(const Target &target, Millis now)
{
    if (hasFreshLoad(target, now)) {
        return target.load->version;
    }
    return target.entry.models.empty() ? 0 : target.entry.models.front().version;
}

bool isWarm(const Target &target, Millis now)
{
    return !target.cold || phaseOf(*target.cold, now) == ColdPhase::Warm;
}

bool hasFreshLoad(const Target &target, Millis now)
{
    return target.load && now - target.load->receivedAt < LoadReportLifetime;
}

double estimatedRequests(const Target &target, bool engine, Millis now)
{
    if (!hasFreshLoad(target, now)) {
        return target.inFlight * (engine ? SilentTargetFactor : 1.0);
    }
    const auto unreported =
        std::count_if(target.recentAttempts.begin(), target.recentAttempts.end(),
                      [&](const RecentAttempt &attempt) { return attempt.sentAt > target.loadCoversUntil; });
    const double reported = target.load->running + target.load->queued;
    return std::max(0.0, reported - slotsLeft(target)) + static_cast<double>(unreported);
}

double promptBacklogMs(const Target &target, double typicalPromptMs, Millis now)
{
    double backlog = hasFreshLoad(target, now) ? target.load->queued * typicalPromptMs : 0;
    const Millis since = hasFreshLoad(target, now) ? target.loadCoversUntil : now - LoadReportLifetime / 10;
    for (const RecentAttempt &attempt : target.recentAttempts) {
        backlog += attempt.sentAt > since ? attempt.promptMs : 0;
    }
    return backlog;
}

Placement place(TargetTable &table, const PlacementRequest &request, Random &random, const PlacementPolicy &policy)
{
    const ClosedAddresses closed = closedAddresses(table, request.domains);
    const bool anyReporting =
        request.engine && std::any_of(table.targets.begin(), table.targets.end(), [&](const auto &item) {
            return isUsable(item.second, request)
                && exclusionOf(request.domains, closed, item.second.entry) == DomainExclusion::None
                && acceptsRequests(item.second.signals, request.now) && hasFreshLoad(item.second, request.now);
        });
    // If no target has room, the occupancy of the least occupied one shows how full the service is.
    std::vector<Placement> available;
    Placement leastOccupied;
    BackingOffTargets backingOff;
    DomainCounts counts;
    for (auto &[id, target] : table.targets) {
        if (target.entry.service == request.service
            && !addTarget(counts, exclusionOf(request.domains, closed, target.entry))) {
            continue;
        }
        if (!isUsable(target, request) || (anyReporting && !hasFreshLoad(target, request.now))) {
            continue;
        }
        const bool hasColdTurn = !target.cold || mayReceive(*target.cold, random, request.now);
        if (!acceptsRequests(target.signals, request.now) || !hasColdTurn) {
            addTarget(backingOff, target, request.now);
            continue;
        }
        const double slots = target.entry.slots > 0 ? target.entry.slots : 1;
        const double occupancy = estimatedRequests(target, request.engine, request.now) / slots;
        if (leastOccupied.reason == PlacementFailure::Unavailable || occupancy < leastOccupied.occupancy) {
            leastOccupied = {.target = nullptr, .reason = PlacementFailure::Full, .occupancy = occupancy};
        }
        if (occupancy < fullOccupancy(request, policy)) {
            available.push_back({.target = &target, .reason = PlacementFailure::None, .occupancy = occupancy});
        }
    }
    if (leastOccupied.reason == PlacementFailure::Unavailable && backingOff.until) {
        return withCounts({.reason = PlacementFailure::BackingOff,
                           .backoffUntil = *backingOff.until,
                           .suggestedPause = backingOff.pause,
                           .withoutTurn = backingOff.withoutTurn,
                           .coldWithoutTurn = backingOff.coldWithoutTurn},
                          counts, request);
    }
    const int leftToOthers = leaveToOthers(available, request, random, policy);
    Placement best = leastOccupied;
    double bestCost = 0;
    for (int n = 0; n < policy.sampledTargets && !available.empty(); ++n) {
        const std::size_t sampled = random() % available.size();
        const Placement candidate = available[sampled];
        available.erase(available.begin() + static_cast<std::ptrdiff_t>(sampled));
        const double backlog = promptBacklogMs(*candidate.target, request.typicalPromptMs, request.now);
        const double cost = candidate.occupancy + backlog / policy.fullBatchBacklogMs
            + (candidate.target->entry.domain == request.domain ? 0 : policy.crossDomainPenalty)
            + (isWarm(*candidate.target, request.now) ? 0 : policy.coldPenalty);
        if (best.target == nullptr || cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    best.withoutTurn = backingOff.withoutTurn;
    best.coldWithoutTurn = backingOff.coldWithoutTurn;
    best.leftToOthers = leftToOthers;
    return withCounts(best, counts, request);
}

} // namespace ibislock::serving
