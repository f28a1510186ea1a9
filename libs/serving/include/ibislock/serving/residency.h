// Data residency: in which regions a request may be served. A route and a workspace each may name the regions that they
// allow; a region must be allowed by both.
//
//     Residency residency = residencyOf(state, {.route = "r", .workspace = "w"}, lastKnown);
//     if (permits(residency, regions, target.entry.domain)) { ... }

#pragma once

#include "ibislock/serving/desired_state.h"

#include <set>

namespace ibislock::serving
{

/// The region of each failure domain.
using DomainRegions = std::map<std::string, std::string, std::less<>>;

/// The regions that the route and the workspace of a request allow; an empty list allows every region.
struct Residency
{
    std::vector<std::string> routeRegions;
    std::vector<std::string> workspaceRegions;

    bool operator==(const Residency &) const = default;
};

/// Identifies what restricts a request.
struct ResidencyKey
{
    std::string_view route; ///< Name of the route.
    std::string_view workspace; ///< Name of the workspace; empty if the request has none.
};

/// Returns the restriction of a request by a desired state.
/// @param lastKnown the restriction by an earlier state. It holds for a route or workspace that the state lacks.
Residency residencyOf(const DesiredState &state, const ResidencyKey &key, const Residency &lastKnown);

/// Returns whether the route or the workspace restricts the regions.
bool isRestricted(const Residency &residency);

/// Returns the regions that a restricted request may be served in; empty if route and workspace have none in common.
std::set<std::string, std::less<>> permittedRegions(const Residency &residency);

/// Returns whether a request may be served in a failure domain. A domain whose region isn't known is permitted only if
/// the request isn't restricted.
bool permits(const Residency &residency, const DomainRegions &regions, std::string_view domain);

} // namespace ibislock::serving
