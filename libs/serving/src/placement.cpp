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
    if (target.entry.service != request.service || target.entry.leaving || target.notice.leaving) {
        return false;
    }
    if (request.now < target.health.avoidUntil) {
        return false;
    }
    if (request.tried != nullptr && request.tried->contains(target.entry.id)) {
        return false;
    }
    if (!request.engine) {
        return true;
    }
    const bool fresh = hasFreshLoad(target, request.now);
    if (fresh && target.load->loading) {
        return false;
    }
    if (fresh && target.load->loadsAt && request.now + request.duration > *target.load->loadsAt + LoadOverlap) {
        return false; // It would hold up the load, and slots would stand empty beside it.
    }
    const std::int64_t version = knownVersion(target, request.now);
    return version > 0 && version >= request.minVersion;
}

double fullAt(const PlacementRequest &request, const PlacementPolicy &policy)
{
    if (!request.engine) {
        return policy.plainFull;
    }
    return request.urgent ? policy.engineFull : policy.engineFullForLate;
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
    return target.load && now - target.load->at < LoadLifetime;
}

double requestsAt(const Target &target, bool engine, Millis now)
{
    if (!hasFreshLoad(target, now)) {
        return target.inFlight * (engine ? SilentTargetFactor : 1.0);
    }
    const auto unseen = std::count_if(target.recentSends.begin(), target.recentSends.end(),
                                      [&](const RecentSend &send) { return send.at > target.loadShowsUntil; });
    return target.load->running + target.load->queued + static_cast<double>(unseen);
}

double promptBacklogMs(const Target &target, double usualPromptMs, Millis now)
{
    double backlog = hasFreshLoad(target, now) ? target.load->queued * usualPromptMs : 0;
    const Millis since = hasFreshLoad(target, now) ? target.loadShowsUntil : now - LoadLifetime / 10;
    for (const RecentSend &send : target.recentSends) {
        backlog += send.at > since ? send.promptMs : 0;
    }
    return backlog;
}

Placement place(TargetTable &table, const PlacementRequest &request, Random &random, const PlacementPolicy &policy)
{
    const bool reporting =
        request.engine && std::any_of(table.targets.begin(), table.targets.end(), [&](const auto &item) {
            return usable(item.second, request) && admits(item.second.notice, request.now)
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
        if (!admits(target.notice, request.now)) {
            pausedUntil = std::min(pausedUntil.value_or(target.notice.pauseUntil), target.notice.pauseUntil);
            continue;
        }
        const double slots = target.entry.slots > 0 ? target.entry.slots : 1;
        const double occupancy = requestsAt(target, request.engine, request.now) / slots;
        if (least.reason == NoTarget::Unknown || occupancy < least.occupancy) {
            least = {.target = nullptr, .reason = NoTarget::Full, .occupancy = occupancy};
        }
        if (occupancy < fullAt(request, policy)) {
            open.push_back({.target = &target, .reason = NoTarget::None, .occupancy = occupancy});
        }
    }
    if (least.reason == NoTarget::Unknown && pausedUntil) {
        return {.reason = NoTarget::Paused, .pausedUntil = *pausedUntil};
    }
    Placement best = least;
    double bestCost = 0;
    for (int n = 0; n < policy.drawnTargets && !open.empty(); ++n) {
        const std::size_t drawn = random() % open.size();
        const Placement candidate = open[drawn];
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(drawn));
        const double backlog = promptBacklogMs(*candidate.target, request.usualPromptMs, request.now);
        const double cost = candidate.occupancy + backlog / policy.backlogOfFullSlots
            + (candidate.target->entry.domain == request.domain ? 0 : policy.otherDomainPenalty);
        if (best.target == nullptr || cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace ibislock::serving
