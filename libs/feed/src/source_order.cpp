#include "ibislock/feed/source_order.h"

#include "ibislock/weights/rendezvous.h"

#include <algorithm>
#include <cstdint>

namespace ibislock::feed
{

namespace
{

constexpr std::string_view OrderKey = "records";

/// Returns the number of the present turn; negative before the first one.
std::int64_t turnAt(const StoreTurns &turns, Millis lagTime)
{
    return lagTime < turns.first ? -1 : (lagTime - turns.first) / turns.interval;
}

/// Returns the VM that has a turn.
const std::string &vmOfTurn(const StoreTurns &turns, std::int64_t turn)
{
    return turns.order[1 + static_cast<std::size_t>(turn) % (turns.order.size() - 1)];
}

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

StoreTurns storeTurns(const std::vector<std::string> &entryVms, Millis first, Millis interval)
{
    return {.order = weights::rendezvousOrder(OrderKey, entryVms), .first = first, .interval = interval};
}

bool hasStoreTurn(const StoreTurns &turns, std::string_view vm, Millis lagTime)
{
    if (turns.order.size() < 2 || turns.order.front() == vm) {
        return true;
    }
    const std::int64_t turn = turnAt(turns, lagTime);
    return turn >= 0 && vmOfTurn(turns, turn) == vm;
}

std::vector<std::string> recentStoreTurns(const StoreTurns &turns, Millis lagTime, std::size_t n)
{
    std::vector<std::string> out;
    const std::size_t vms = std::max<std::size_t>(turns.order.size(), 1) - 1;
    for (std::int64_t turn = turnAt(turns, lagTime); turn >= 0 && out.size() < std::min(n, vms); --turn) {
        out.push_back(vmOfTurn(turns, turn));
    }
    return out;
}

} // namespace ibislock::feed
