// The chunks that a target process holds in memory, bounded in bytes and found by digest.
//
// Chunks are found by content, so a chunk that two versions share is fetched once. Only verified chunks are put in.
// When the bound is reached, chunks that no pinned manifest needs are dropped first, oldest first; a chunk that a
// pinned manifest needs is never dropped.

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

/// The content of a chunk, shared by those who send it.
using ChunkBytes = std::shared_ptr<const std::string>;

/// Chunks by digest.
struct ChunkStore
{
    std::uint64_t maxBytes = 0;
    std::uint64_t usedBytes = 0;
    std::map<Digest, ChunkBytes> chunks;
    std::list<Digest> insertionOrder; ///< Oldest first.
    std::map<Digest, std::uint32_t> pins;
};

/// Keeps the chunks of a manifest from being dropped.
void pin(ChunkStore &store, const Manifest &manifest);

/// Allows the chunks of a manifest to be dropped.
void unpin(ChunkStore &store, const Manifest &manifest);

/// Puts a verified chunk in.
/// @return nothing, or Exhausted when only pinned chunks are left to drop.
Result<void> put(ChunkStore &store, const Digest &digest, ChunkBytes bytes);

/// Finds a chunk.
/// @return the chunk, or null.
ChunkBytes get(const ChunkStore &store, const Digest &digest);

/// Lists the indexes of a manifest's chunks that the store lacks.
std::vector<std::size_t> missingChunks(const ChunkStore &store, const Manifest &manifest);

} // namespace ibislock::weights
