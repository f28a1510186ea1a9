#include "ibislock/feed/relay_order.h"

#include "ibislock/weights/rendezvous.h"

#include <algorithm>

namespace ibislock::feed
{

namespace
{

constexpr std::string_view OrderKey = "listings";

} // namespace

std::vector<std::string> relaysFor(std::string_view self, const std::vector<std::string> &vms)
{
    if (vms.empty()) {
        return {};
    }
    std::vector<std::string> order = weights::rendezvousOrder(OrderKey, vms);
    const std::size_t relays = 1 + (order.size() - 1) / VmsOfRelay;
    const auto own = static_cast<std::size_t>(std::find(order.begin(), order.end(), self) - order.begin());
    if (own < relays) {
        return {};
    }
    const auto firstSubstitute = order.begin() + static_cast<std::ptrdiff_t>(relays);
    const std::size_t substitutes = std::min(SubstituteRelays, std::min(own, order.size()) - relays);
    // Askers spread over the relays, and in another order each.
    std::vector<std::string> out =
        weights::rendezvousOrder(self, std::vector<std::string>(order.begin(), firstSubstitute));
    out.insert(out.end(), firstSubstitute, firstSubstitute + static_cast<std::ptrdiff_t>(substitutes));
    return out;
}

} // namespace ibislock::feed
