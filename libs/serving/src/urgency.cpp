#include "ibislock/serving/urgency.h"

#include <algorithm>
#include <set>

namespace ibislock::serving
{

namespace
{

/// Lowest urgency that engines distinguish.
constexpr int LastEnginePriority = 9;

} // namespace

Urgency urgencyOf(const DesiredState &state, std::string_view service, int routePriority)
{
    std::set<int> priorities{routePriority};
    for (const Route &route : state.routes) {
        const bool uses = std::any_of(route.services.begin(), route.services.end(),
                                      [&](const WeightedService &weighted) { return weighted.service == service; });
        if (uses) {
            priorities.insert(route.priority);
        }
    }
    const auto it = priorities.find(routePriority);
    return {.rank = static_cast<int>(std::distance(priorities.begin(), it)),
            .ranks = static_cast<int>(priorities.size())};
}

double reservedShare(const Urgency &urgency, bool returned)
{
    const int rank = returned && urgency.rank > 0 ? urgency.rank - 1 : urgency.rank;
    return std::min(MaxReservedShare, rank * ReservedSharePerRank);
}

bool isUrgent(const Urgency &urgency)
{
    return urgency.rank + 1 < urgency.ranks;
}

int enginePriority(const Urgency &urgency)
{
    return urgency.ranks > 1 ? std::min(urgency.rank, LastEnginePriority) : -1;
}

} // namespace ibislock::serving
