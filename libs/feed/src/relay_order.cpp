#include "ibislock/feed/relay_order.h"

#include "ibislock/weights/rendezvous.h"

#include <algorithm>

namespace ibislock::feed
{

namespace
{

constexpr std::string_view OrderKey = "listings";

/// How many VMs of a domain read the store for it.
std::size_t relayCount(std::size_t vms)
{
    return vms == 0 ? 0 : 1 + (vms - 1) / VmsPerRelay;
}

} // namespace

std::vector<std::string> relaysFor(std::string_view self, const std::vector<std::string> &vms)
{
    if (vms.empty()) {
        return {};
    }
    std::vector<std::string> order = weights::rendezvousOrder(OrderKey, vms);
    const std::size_t relays = relayCount(order.size());
    const auto own = static_cast<std::size_t>(std::find(order.begin(), order.end(), self) - order.begin());
    if (own < relays) {
        return {};
    }
    const auto firstSubstitute = order.begin() + static_cast<std::ptrdiff_t>(relays);
    const std::size_t substitutes = std::min(BackupRelays, std::min(own, order.size()) - relays);
    // Askers spread over the relays, and in another order each.
    std::vector<std::string> out =
        weights::rendezvousOrder(self, std::vector<std::string>(order.begin(), firstSubstitute));
    out.insert(out.end(), firstSubstitute, firstSubstitute + static_cast<std::ptrdiff_t>(substitutes));
    return out;
}

bool isRelayOrBackup(std::string_view self, const std::vector<std::string> &vms)
{
    const std::vector<std::string> order = weights::rendezvousOrder(OrderKey, vms);
    const std::size_t asked = std::min(relayCount(order.size()) + BackupRelays, order.size());
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(asked);
    return std::find(order.begin(), end, self) != end;
}

} // namespace ibislock::feed
