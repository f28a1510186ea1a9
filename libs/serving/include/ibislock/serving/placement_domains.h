// The failure domains in which a request may be placed: those in the regions that it is restricted to, without the
// evacuated ones.
//
//     const ClosedAddresses closed = closedAddresses(table, {.residency = &residency, .regions = &regions});
//     if (exclusionOf(domains, closed, target) == DomainExclusion::None) { ... }

#pragma once

#include "ibislock/serving/residency.h"
#include "ibislock/serving/target_table.h"

#include <unordered_set>

namespace ibislock::serving
{

/// What restricts the failure domains of a request.
struct PlacementDomains
{
    const Residency *residency = nullptr; ///< Null if the request isn't restricted to regions.
    const DomainRegions *regions = nullptr; ///< Null if no region is known.
    const std::set<std::string, std::less<>> *evacuated = nullptr; ///< Evacuated domains; null for none.
};

/// Why a target's failure domain is closed to a request.
enum class DomainExclusion {
    None,
    Residency, ///< It isn't in a region that is allowed, or its region isn't known.
    Evacuated, ///< It is being evacuated.
};

/// Returns whether any domain may be closed to the request.
bool restrictsDomains(const PlacementDomains &domains);

/// Returns whether, and why, a domain is closed to the request. Residency is reported first if both reasons apply.
DomainExclusion exclusionOf(const PlacementDomains &domains, std::string_view domain);

/// Addresses at which targets of closed domains are listed. An address that a target of an open domain shares with one
/// of these may have been reused, and the listing that is out of date isn't known.
struct ClosedAddresses
{
    std::unordered_set<std::string_view> residency;
    std::unordered_set<std::string_view> evacuated;
};

/// Collects the addresses of all targets in closed domains, of any service.
/// @return addresses that are valid until the table changes.
ClosedAddresses closedAddresses(const TargetTable &table, const PlacementDomains &domains);

/// Returns whether, and why, a target is closed to the request by its domain or by its address.
DomainExclusion exclusionOf(const PlacementDomains &domains, const ClosedAddresses &closed, const TargetEntry &target);

} // namespace ibislock::serving
