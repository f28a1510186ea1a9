// Chooses the engines whose load reports an entry VM subscribes to. If each engine of a large deployment reported its
// load to each entry VM, the number of messages would grow with the product of both and fill the links between regions.
// Each entry VM therefore subscribes to a bounded number, most of them in its own failure domain, chosen by rendezvous
// hashing of its name so that all engines have about the same number of subscribers.
//
//     std::set<std::string> subscribed = chooseLoadSubscriptions("entry-1", "domain-a", engines);

#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ibislock::serving
{

/// An engine to whose load reports an entry VM can subscribe.
struct SubscriptionCandidate
{
    std::string id;
    std::string domain;
};

/// Maximum numbers of subscriptions.
struct SubscriptionLimits
{
    std::size_t ownDomain = 24; ///< Engines of the own failure domain: twice the number in a domain of present sites.
    std::size_t otherDomains = 12; ///< Engines of other failure domains, which serve requests when the own domain is
                                   ///< full or lost.
};

/// Chooses the engines to subscribe to. Subscriptions that one group of domains does not use up go to the other.
/// @param self the name of the entry VM.
/// @param domain the failure domain of the entry VM.
/// @return the ids of the chosen engines.
std::set<std::string> chooseLoadSubscriptions(std::string_view self, std::string_view domain,
                                              const std::vector<SubscriptionCandidate> &engines,
                                              const SubscriptionLimits &limits = {});

} // namespace ibislock::serving
