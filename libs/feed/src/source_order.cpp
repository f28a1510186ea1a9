#include "ibislock/feed/source_order.h"

#include "ibislock/weights/rendezvous.h"

#include <algorithm>

namespace ibislock::feed
{

namespace
{

constexpr std::string_view OrderKey = "records";

} // namespace

std::vector<std::string> sourcesInTree(std::string_view self, const std::vector<std::string> &entryVms)
{
    std::vector<std::string> vms = entryVms;
    if (std::find(vms.begin(), vms.end(), self) == vms.end()) {
        vms.emplace_back(self);
    }
    const std::vector<std::string> order = weights::rendezvousOrder(OrderKey, vms);
    const auto ownRank = static_cast<std::size_t>(std::find(order.begin(), order.end(), self) - order.begin());
    if (ownRank == 0) {
        return {};
    }
    const std::size_t parent = (ownRank - 1) / TreeFanOut;
    std::vector<std::string> out{order[parent]};
    if (parent != 0) {
        out.push_back(order.front());
    }
    return out;
}

std::vector<std::string> sourcesOutsideTree(std::string_view self, const std::vector<std::string> &entryVms)
{
    std::vector<std::string> out = weights::rendezvousOrder(self, entryVms);
    std::erase(out, self);
    out.resize(std::min(out.size(), MaxSources));
    return out;
}

} // namespace ibislock::feed
