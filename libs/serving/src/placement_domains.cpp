#include "ibislock/serving/placement_domains.h"

namespace ibislock::serving
{

bool restrictsDomains(const PlacementDomains &domains)
{
    return (domains.residency != nullptr && isRestricted(*domains.residency))
        || (domains.evacuated != nullptr && !domains.evacuated->empty());
}

DomainExclusion exclusionOf(const PlacementDomains &domains, std::string_view domain)
{
    static const DomainRegions none;
    if (domains.residency != nullptr
        && !permits(*domains.residency, domains.regions != nullptr ? *domains.regions : none, domain)) {
        return DomainExclusion::Residency;
    }
    return domains.evacuated != nullptr && domains.evacuated->contains(domain) ? DomainExclusion::Evacuated
                                                                               : DomainExclusion::None;
}

ClosedAddresses closedAddresses(const TargetTable &table, const PlacementDomains &domains)
{
    ClosedAddresses out;
    if (!restrictsDomains(domains)) {
        return out;
    }
    for (const auto &[id, target] : table.targets) {
        const DomainExclusion exclusion = exclusionOf(domains, target.entry.domain);
        if (exclusion == DomainExclusion::Residency) {
            out.residency.insert(target.entry.address);
        } else if (exclusion == DomainExclusion::Evacuated) {
            out.evacuated.insert(target.entry.address);
        }
    }
    return out;
}

DomainExclusion exclusionOf(const PlacementDomains &domains, const ClosedAddresses &closed, const TargetEntry &target)
{
    if (closed.residency.contains(target.address)) {
        return DomainExclusion::Residency;
    }
    if (closed.evacuated.contains(target.address)) {
        return DomainExclusion::Evacuated;
    }
    return exclusionOf(domains, target.domain);
}

} // namespace ibislock::serving
