#include "ibislock/serving/residency.h"

#include <algorithm>

namespace ibislock::serving
{

namespace
{

bool allows(const std::vector<std::string> &regions, std::string_view region)
{
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

/// Finds a route or workspace by its name.
/// @return the item, or null.
template <typename T>
const T *findByName(const std::vector<T> &items, std::string_view name)
{
    const auto it = std::find_if(items.begin(), items.end(), [&](const T &item) { return item.name == name; });
    return it == items.end() ? nullptr : &*it;
}

} // namespace

Residency residencyOf(const DesiredState &state, const ResidencyKey &key, const Residency &lastKnown)
{
    Residency out = lastKnown;
    if (const Route *route = findByName(state.routes, key.route)) {
        out.routeRegions = route->allowedRegions;
    }
    const Workspace *workspace = key.workspace.empty() ? nullptr : findByName(state.workspaces, key.workspace);
    if (workspace != nullptr) {
        out.workspaceRegions = workspace->allowedRegions;
    }
    return out;
}

bool isRestricted(const Residency &residency)
{
    return !residency.routeRegions.empty() || !residency.workspaceRegions.empty();
}

std::set<std::string, std::less<>> permittedRegions(const Residency &residency)
{
    std::set<std::string, std::less<>> out;
    for (const auto *list : {&residency.routeRegions, &residency.workspaceRegions}) {
        std::copy_if(list->begin(), list->end(), std::inserter(out, out.end()), [&](const std::string &region) {
            return allows(residency.routeRegions, region) && allows(residency.workspaceRegions, region);
        });
    }
    return out;
}

bool permits(const Residency &residency, const DomainRegions &regions, std::string_view domain)
{
    if (!isRestricted(residency)) {
        return true;
    }
    const auto it = regions.find(domain);
    return it != regions.end() && !it->second.empty() && allows(residency.routeRegions, it->second)
        && allows(residency.workspaceRegions, it->second);
}

} // namespace ibislock::serving
