// An in-memory store of chunks, addressed by digest and bounded in bytes.
//
// Addressing by content means that a chunk which two versions share is fetched once. Only verified chunks are stored.
// When the store is full, it evicts the oldest chunks that no pinned manifest refers to; it never evicts a chunk of a
// pinned manifest.

#pragma once

#include "ibislock/base/digest.h"
#include "ibislock/weights/manifest.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace ibislock::weights
{

/// The content of a chunk, shared by all connections that send it.
using ChunkBytes = std::shared_ptr<const std::string>;

/// The chunks by digest, with the bookkeeping for eviction.
struct ChunkStore
{
    std::uint64_t maxBytes = 0;
    std::uint64_t usedBytes = 0;
    std::map<Digest, ChunkBytes> chunks;
    std::list<Digest> insertionOrder; ///< Oldest first.
    std::map<Digest, std::uint32_t> pins;
};

/// Protects the chunks of a manifest from eviction; calls nest.
void pin(ChunkStore &store, const Manifest &manifest);

/// Reverts one call of pin() for a manifest.
void unpin(ChunkStore &store, const Manifest &manifest);

/// Stores a verified chunk, evicting others if necessary.
/// @return nothing, or Exhausted if all remaining chunks are pinned.
Result<void> put(ChunkStore &store, const Digest &digest, ChunkBytes bytes);

/// Returns a chunk, or null if the store doesn't hold it.
ChunkBytes get(const ChunkStore &store, const Digest &digest);

/// Returns the indexes of a manifest's chunks that the store doesn't hold.
std::vector<std::size_t> missingChunks(const ChunkStore &store, const Manifest &manifest);

} // namespace ibislock::weights
