// Chooses the engines whose loads an entry VM is sent. Answers a large deployment: if each engine told each entry VM
// its load, messages would grow with the product of both and fill the links between regions. Each entry VM watches a
// bounded number, most of its own domain, drawn by its name so that all engines are watched by about as many.
//
//     std::set<std::string> watched = watchedTargets("entry-1", "domain-a", engines);

#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ibislock::serving
{

/// An engine that can be watched.
struct SubscriptionCandidate
{
    std::string id;
    std::string domain;
};

/// How many are watched.
struct SubscriptionLimits
{
    std::size_t ownDomain = 24; ///< Of the own domain: as many as a domain of the present sites has, twice.
    std::size_t otherDomains =
        12; ///< Of other domains, so that requests find room when the own domain is full or lost.
};

/// Chooses the engines to watch. Places that one kind does not fill go to the other.
/// @param self, domain the entry VM.
std::set<std::string> chooseLoadSubscriptions(std::string_view self, std::string_view domain,
                                              const std::vector<SubscriptionCandidate> &engines,
                                              const SubscriptionLimits &limits = {});

} // namespace ibislock::serving
