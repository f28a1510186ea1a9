#include "ibislock/serving/load_subscriptions.h"

#include "ibislock/weights/rendezvous.h"

#include <algorithm>

namespace ibislock::serving
{

std::set<std::string> chooseLoadSubscriptions(std::string_view self, std::string_view domain,
                                              const std::vector<SubscriptionCandidate> &engines,
                                              const SubscriptionLimits &limits)
{
    std::vector<std::string> own;
    std::vector<std::string> other;
    for (const SubscriptionCandidate &engine : engines) {
        (engine.domain == domain ? own : other).push_back(engine.id);
    }
    const std::size_t maxTotal = limits.ownDomain + limits.otherDomains;
    const std::size_t fromOther =
        std::min(other.size(), std::max(limits.otherDomains, maxTotal - std::min(maxTotal, own.size())));
    const std::size_t fromOwn = std::min(own.size(), maxTotal - fromOther);
    own = weights::rendezvousOrder(self, own);
    other = weights::rendezvousOrder(self, other);
    std::set<std::string> out(own.begin(), own.begin() + static_cast<std::ptrdiff_t>(fromOwn));
    out.insert(other.begin(), other.begin() + static_cast<std::ptrdiff_t>(fromOther));
    return out;
}

} // namespace ibislock::serving
