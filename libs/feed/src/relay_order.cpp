#include "ibislock/feed/relay_order.h"

#include "ibislock/weights/rendezvous.h"

#include <algorithm>

namespace ibislock::feed
{

namespace
{

constexpr std::string_view OrderKey = "listings";

/// Returns the number of relays of a domain with a number of target VMs.
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
    const auto ownRank = static_cast<std::size_t>(std::find(order.begin(), order.end(), self) - order.begin());
    if (ownRank < relays) {
        return {};
    }
    const auto firstBackup = order.begin() + static_cast<std::ptrdiff_t>(relays);
    const std::size_t backups = std::min(BackupRelays, std::min(ownRank, order.size()) - relays);
    // Each VM tries the relays in an order of its own, which spreads the load over them.
    std::vector<std::string> out = weights::rendezvousOrder(self, std::vector<std::string>(order.begin(), firstBackup));
    out.insert(out.end(), firstBackup, firstBackup + static_cast<std::ptrdiff_t>(backups));
    return out;
}

bool isRelayOrBackup(std::string_view self, const std::vector<std::string> &vms)
{
    const std::vector<std::string> order = weights::rendezvousOrder(OrderKey, vms);
    const std::size_t serving = std::min(relayCount(order.size()) + BackupRelays, order.size());
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(serving);
    return std::find(order.begin(), end, self) != end;
}

} // namespace ibislock::feed
