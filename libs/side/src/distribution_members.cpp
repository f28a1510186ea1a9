#include "distribution_members.h"

#include "ibislock/platform/settings.h"

namespace ibislock::side
{

std::vector<weights::DistributionMember> distributionMembers(const feed::ListingsCache &listings,
                                                             const DistributionView &view)
{
    std::map<std::string, const serving::TargetEntry *> newest; // By address.
    for (const auto &[id, known] : listings.listings) {
        if (!known.entry || known.entry->service != view.service) {
            continue;
        }
        const auto endpoint = platform::parseEndpoint(known.entry->address);
        if (!endpoint || endpoint->ip == view.self) {
            continue;
        }
        const serving::TargetEntry *&entry = newest[endpoint->ip];
        if (entry == nullptr || entry->startedAt < known.entry->startedAt) {
            entry = &*known.entry;
        }
    }
    std::vector<weights::DistributionMember> out;
    for (const auto &[vm, entry] : newest) {
        const bool holds = !entry->models.empty() && entry->models.front().version == view.version;
        out.push_back({.vm = vm, .domain = entry->domain, .hasVersion = holds});
    }
    return out;
}

} // namespace ibislock::side
