#include "ibislock/serving/placement.h"

namespace ibislock::serving
{

namespace
{

/// How many times its own requests an entry VM assumes at a target that doesn't report.
constexpr double SilentTargetFactor = 2.0;

/// Requests per slot by which a target in another domain must be less occupied; a tenth of an engine's batch.
constexpr double OtherDomainPenalty = 0.1;

bool usable(const Target &target, const PlacementRequest &request)
{
    if (target.entry.service != request.service || target.entry.leaving) {
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
    const bool fresh = target.load && request.now - target.load->at < LoadLifetime;
    if (fresh && target.load->loading) {
        return false;
    }
    if (fresh && target.load->loadsAt && request.now + request.duration > *target.load->loadsAt + LoadOverlap) {
        return false; // It would hold up the load, and slots would stand empty beside it.
    }
    const std::int64_t version = knownVersion(target, request.now);
    return version > 0 && version >= request.minVersion;
}

double fullAt(const PlacementRequest &request)
{
    if (!request.engine) {
        return PlainFull;
    }
    return request.urgent ? EngineFull : EngineFullForLate;
}

} // namespace

std::int64_t knownVersion(const Target &target, Millis now)
{
    if (target.load && now - target.load->at < LoadLifetime) {
        return target.load->version;
    }
    return target.entry.models.empty() ? 0 : target.entry.models.front().version;
}

double requestsAt(const Target &target, bool engine, Millis now)
{
    if (target.load && now - target.load->at < LoadLifetime) {
        return target.load->running + target.load->queued + target.sentSinceLoad;
    }
    return target.inFlight * (engine ? SilentTargetFactor : 1.0);
}

Placement place(TargetTable &table, const PlacementRequest &request, Random &random)
{
    Placement best;
    double bestCost = 0;
    int equals = 0;
    for (auto &[id, target] : table.targets) {
        if (!usable(target, request)) {
            continue;
        }
        const double slots = target.entry.slots > 0 ? target.entry.slots : 1;
        const double occupancy = requestsAt(target, request.engine, request.now) / slots;
        const double cost = occupancy + (target.entry.domain == request.domain ? 0 : OtherDomainPenalty);
        if (best.target != nullptr && cost > bestCost) {
            continue;
        }
        equals = best.target != nullptr && cost == bestCost ? equals + 1 : 1;
        if (equals == 1 || random() % static_cast<unsigned>(equals) == 0) {
            best = {.target = &target, .reason = NoTarget::None, .occupancy = occupancy};
            bestCost = cost;
        }
    }
    if (best.target != nullptr && best.occupancy >= fullAt(request)) {
        best.target = nullptr;
        best.reason = NoTarget::Full;
    }
    return best;
}

} // namespace ibislock::serving
