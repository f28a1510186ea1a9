// Which VM draws a chunk first: from the origin, or over the link between two regions.
//
//     DrawOrder order = drawOrder(manifest.chunks, vms);
//     drawerOf(order, chunk, digest, live, 0);     // the first that is live
//     drawerOf(order, chunk, digest, live, 1);     // takes over when that one is silent
//
// Every VM computes the same order without talking to the others. The first VM of each chunk comes from rendezvous
// hashing with bounded loads, so that all VMs draw nearly the same number of chunks; the others follow by rendezvous
// weight. A VM that dies only moves its own chunks.

#pragma once

#include "ibislock/base/digest.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace ibislock::weights
{

/// The VMs of one group and the first VM of each chunk.
struct ChunkAssignment
{
    std::vector<std::string> vms;
    std::vector<std::uint32_t> primary; ///< By chunk: an index into `vms`.
};

/// Works out the first VM of each chunk.
/// @param chunks the chunks' digests, in the manifest's order.
/// @param vms the group, the same on every VM; without VMs the order is empty.
ChunkAssignment assignChunks(std::span<const Digest> chunks, std::vector<std::string> vms);

/// Gives the VM that is to draw a chunk.
/// @param chunk the chunk's index; @param digest its digest.
/// @param live the VMs that are there.
/// @param level how many silent VMs are passed over.
/// @return the VM, or nothing when fewer VMs are live.
std::optional<std::string> assignedVm(const ChunkAssignment &order, std::size_t chunk, const Digest &digest,
                                      const std::set<std::string> &live, std::size_t level);

} // namespace ibislock::weights
