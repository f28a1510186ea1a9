#include "ibislock/weights/assignment.h"

#include "ibislock/weights/rendezvous.h"

#include <algorithm>

namespace ibislock::weights
{

ChunkAssignment assignChunks(std::span<const Digest> chunks, std::vector<std::string> vms)
{
    std::sort(vms.begin(), vms.end());
    ChunkAssignment order{.vms = std::move(vms), .primary = {}};
    if (order.vms.empty()) {
        return order;
    }
    const std::size_t bound = (chunks.size() + order.vms.size() - 1) / order.vms.size();
    std::vector<std::size_t> loads(order.vms.size());
    order.primary.reserve(chunks.size());
    for (const Digest &chunk : chunks) {
        std::size_t best = order.vms.size();
        std::uint64_t bestWeight = 0;
        for (std::size_t i = 0; i < order.vms.size(); ++i) {
            const std::uint64_t weight = loads[i] < bound ? rendezvousWeight(bytesOf(chunk), order.vms[i]) : 0;
            if (loads[i] < bound && (best == order.vms.size() || weight > bestWeight)) {
                best = i;
                bestWeight = weight;
            }
        }
        ++loads[best];
        order.primary.push_back(static_cast<std::uint32_t>(best));
    }
    return order;
}

std::optional<std::string> assignedVm(const ChunkAssignment &order, std::size_t chunk, const Digest &digest,
                                      const std::set<std::string> &liveVms, std::size_t skipped)
{
    if (chunk >= order.primary.size()) {
        return std::nullopt;
    }
    const std::string &first = order.vms[order.primary[chunk]];
    if (liveVms.contains(first)) {
        if (skipped == 0) {
            return first;
        }
        --skipped;
    }
    std::vector<std::string> rest;
    std::copy_if(order.vms.begin(), order.vms.end(), std::back_inserter(rest),
                 [&](const std::string &vm) { return vm != first && liveVms.contains(vm); });
    if (skipped >= rest.size()) {
        return std::nullopt;
    }
    return rendezvousOrder(bytesOf(digest), rest)[skipped];
}

} // namespace ibislock::weights
