// The chunks and manifests that a target daemon holds, shared by the transfer and the RPC server.

#pragma once

#include "ibislock/rpc/server.h"
#include "ibislock/weights/chunk_store.h"

#include <map>
#include <mutex>
#include <optional>

namespace ibislock::target
{

/// What is held. The mutex guards the rest.
struct Holdings
{
    std::mutex mutex;
    weights::ChunkStore store;
    std::map<Digest, weights::Manifest> manifests;
    std::map<Digest, rpc::HaveReply> held; ///< By root digest, for those who ask.
};

/// Takes a version up: its manifest is handed out, and its chunks are kept from being dropped.
/// @return which of its chunks are held.
std::vector<bool> holdVersion(Holdings &holdings, const Digest &root, const weights::Manifest &manifest);

/// Lets all versions but one go: their chunks may be dropped.
void dropOtherVersions(Holdings &holdings, const Digest &root);

/// Puts a verified chunk of a version in.
/// @return nothing, or Exhausted when the memory for chunks is full.
Result<void> holdChunk(Holdings &holdings, const Digest &root, std::size_t index, weights::ChunkBytes bytes);

/// Finds a version's manifest.
std::optional<weights::Manifest> findManifest(Holdings &holdings, const Digest &root);

} // namespace ibislock::target
