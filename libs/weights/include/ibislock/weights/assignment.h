// Assigns each chunk to the VM that fetches it first, from the origin or over the link between two regions.
//
//     ChunkAssignment assignment = assignChunks(manifest.chunks, vms);
//     assignedVm(assignment, chunk, digest, liveVms, 0);     // the first live VM
//     assignedVm(assignment, chunk, digest, liveVms, 1);     // takes over when the first one makes no progress
//
// Every VM computes the same assignment without communication. The primary VM of each chunk comes from rendezvous
// hashing with bounded loads, so that all VMs fetch nearly the same number of chunks; the fallbacks follow by
// rendezvous weight. When a VM dies, only the chunks assigned to it move.

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

/// The VMs of one group and the primary VM of each chunk.
struct ChunkAssignment
{
    std::vector<std::string> vms;
    std::vector<std::uint32_t> primary; ///< By chunk index: an index into `vms`.
};

/// Computes the primary VM of each chunk.
/// @param chunks the chunks' digests, in the manifest's order.
/// @param vms the VMs of the group, the same on every VM; if empty, no chunk is assigned.
ChunkAssignment assignChunks(std::span<const Digest> chunks, std::vector<std::string> vms);

/// Returns the VM that is to fetch a chunk.
/// @param chunk the chunk's index; @param digest its digest.
/// @param liveVms the VMs that are reachable.
/// @param skipped the number of live VMs to pass over because they make no progress.
/// @return the VM, or nothing if no more than `skipped` VMs are live.
std::optional<std::string> assignedVm(const ChunkAssignment &order, std::size_t chunk, const Digest &digest,
                                      const std::set<std::string> &liveVms, std::size_t skipped);

} // namespace ibislock::weights
