#include "ibislock/serving/placement.h"

#include <algorithm>

namespace ibislock::serving
{

namespace
{

/// How many times its own requests an entry VM assumes at a target that doesn't report.
constexpr double SilentTargetFactor = 2.0;

bool usable(const Target &target, const PlacementRequest &request)
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
    if (!request.engine) {
        return true;
    }
    const bool fresh = hasFreshLoad(target, request.now);
    if (fresh && target.load->loading) {
        return false;
    }
    if (fresh && target.load->loadStartsAt
        && request.now + request.expectedDuration > *target.load->loadStartsAt + WeightsLoadOverlap) {
        return false; // It would hold up the load, and slots would stand empty beside it.
    }
    const std::int64_t version = knownVersion(target, request.now);
    return version > 0 && version >= request.minVersion;
}

double fullAt(const PlacementRequest &request, const PlacementPolicy &policy)
{
    if (!request.engine) {
        return policy.plainFullOccupancy;
    }
    return request.urgent ? policy.engineFullOccupancy : policy.lateEngineFullOccupancy;
}

} // namespace

std::int64_t knownVersion(const Target &target, Millis now)
{
    if (hasFreshLoad(target, now)) {
        return target.load->version;
    }
    return target.entry.models.empty() ? 0 : target.entry.models.front().version;
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
    const auto unseen = std::count_if(target.recentAttempts.begin(), target.recentAttempts.end(),
                                      [&](const RecentAttempt &send) { return send.sentAt > target.loadCoversUntil; });
    return target.load->running + target.load->queued + static_cast<double>(unseen);
}

double promptBacklogMs(const Target &target, double usualPromptMs, Millis now)
{
    double backlog = hasFreshLoad(target, now) ? target.load->queued * usualPromptMs : 0;
    const Millis since = hasFreshLoad(target, now) ? target.loadCoversUntil : now - LoadReportLifetime / 10;
    for (const RecentAttempt &send : target.recentAttempts) {
        backlog += send.sentAt > since ? send.promptMs : 0;
    }
    return backlog;
}

Placement place(TargetTable &table, const PlacementRequest &request, Random &random, const PlacementPolicy &policy)
{
    const bool reporting =
        request.engine && std::any_of(table.targets.begin(), table.targets.end(), [&](const auto &item) {
            return usable(item.second, request) && acceptsRequests(item.second.signals, request.now)
                && hasFreshLoad(item.second, request.now);
        });
    // The least occupied of all tells how full the service is.
    std::vector<Placement> open;
    Placement least;
    std::optional<Millis> pausedUntil;
    for (auto &[id, target] : table.targets) {
        if (!usable(target, request) || (reporting && !hasFreshLoad(target, request.now))) {
            continue;
        }
        if (!acceptsRequests(target.signals, request.now)) {
            pausedUntil = std::min(pausedUntil.value_or(target.signals.backoffUntil), target.signals.backoffUntil);
            continue;
        }
        const double slots = target.entry.slots > 0 ? target.entry.slots : 1;
        const double occupancy = estimatedRequests(target, request.engine, request.now) / slots;
        if (least.reason == PlacementFailure::Unavailable || occupancy < least.occupancy) {
            least = {.target = nullptr, .reason = PlacementFailure::Full, .occupancy = occupancy};
        }
        if (occupancy < fullAt(request, policy)) {
            open.push_back({.target = &target, .reason = PlacementFailure::None, .occupancy = occupancy});
        }
    }
    if (least.reason == PlacementFailure::Unavailable && pausedUntil) {
        return {.reason = PlacementFailure::BackingOff, .backoffUntil = *pausedUntil};
    }
    Placement best = least;
    double bestCost = 0;
    for (int n = 0; n < policy.sampledTargets && !open.empty(); ++n) {
        const std::size_t drawn = random() % open.size();
        const Placement candidate = open[drawn];
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(drawn));
        const double backlog = promptBacklogMs(*candidate.target, request.typicalPromptMs, request.now);
        const double cost = candidate.occupancy + backlog / policy.fullBatchBacklogMs
            + (candidate.target->entry.domain == request.domain ? 0 : policy.crossDomainPenalty);
        if (best.target == nullptr || cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace ibislock::serving
