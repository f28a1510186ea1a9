#include "ibislock/membership/delegates.h"

#include <algorithm>
#include <xxhash.h>

namespace ibislock::membership
{

namespace
{

const std::string &domainOf(const Member &member)
{
    return member.hasReport ? member.report.domain : member.listed.domain;
}

VmKind kindOf(const Member &member)
{
    return member.hasReport ? member.report.kind : member.listed.kind;
}

/// Tells whether requests may be sent to a VM. A VM that the platform lists and that has not reported yet is included.
bool isAvailable(const Member &member, const ViewOptions &options, Millis now)
{
    const bool isLeaving = member.hasReport && member.report.leaving;
    if (isLeaving || isUnreachable(member) || addressOf(member).empty()) {
        return false;
    }
    const Millis lifetime = member.isRemote ? options.remoteLifetime : options.reportLifetime;
    return member.isListed || (member.hasReport && now - member.reportedAt <= lifetime);
}

} // namespace

std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> names)
{
    const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
    std::vector<std::pair<std::uint64_t, std::string>> weights;
    weights.reserve(names.size());
    for (std::string &name : names) {
        const XXH64_hash_t weight = XXH3_64bits_withSeed(name.data(), name.size(), seed);
        weights.emplace_back(weight, std::move(name));
    }
    std::sort(weights.begin(), weights.end());
    for (std::size_t i = 0; i < names.size(); ++i) {
        names[i] = std::move(weights[i].second);
    }
    return names;
}

std::size_t rendezvousRank(std::string_view key, const std::vector<std::string> &names, std::string_view name)
{
    const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
    const auto weightOf = [seed](std::string_view text) {
        return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    };
    const XXH64_hash_t own = weightOf(name);
    // A VM is never its own delegate.
    return static_cast<std::size_t>(std::count_if(names.begin(), names.end(), [&](const std::string &other) {
        return other != key && other != name && weightOf(other) < own;
    }));
}

std::vector<std::string> availableEntryVms(const View &view, std::string_view domain, const ViewOptions &options,
                                           Millis now)
{
    std::vector<std::string> names;
    for (const auto &[name, member] : view.members) {
        if (kindOf(member) == VmKind::Entry && (domain.empty() || domainOf(member) == domain)
            && isAvailable(member, options, now)) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> delegatesOf(const View &view, std::string_view vm, std::size_t limit,
                                     const ViewOptions &options, Millis now)
{
    const Member *self = find(view, vm);
    const std::string domain = self == nullptr ? view.domain : domainOf(*self);
    auto delegates = rendezvousOrder(vm, availableEntryVms(view, domain, options, now));
    std::erase(delegates, vm);
    if (delegates.size() < limit) {
        for (std::string &name : rendezvousOrder(vm, availableEntryVms(view, {}, options, now))) {
            if (name != vm && std::find(delegates.begin(), delegates.end(), name) == delegates.end()) {
                delegates.push_back(std::move(name));
            }
        }
    }
    delegates.resize(std::min(delegates.size(), limit));
    return delegates;
}

std::vector<std::string> crossDomainPeersOf(const View &view, std::string_view vm, const ViewOptions &options,
                                            Millis now)
{
    std::map<std::string, std::vector<std::string>> byDomain;
    for (const std::string &name : availableEntryVms(view, {}, options, now)) {
        const std::string &domain = domainOf(*find(view, name));
        if (domain != view.domain) {
            byDomain[domain].push_back(name);
        }
    }
    std::vector<std::string> bridges;
    for (auto &[domain, names] : byDomain) {
        bridges.push_back(rendezvousOrder(vm, std::move(names)).front());
    }
    return bridges;
}

} // namespace ibislock::membership
