#include "ibislock/weights/chunk_store.h"

namespace ibislock::weights
{

namespace
{

/// Evicts the oldest chunk that isn't pinned.
/// @return false if all chunks are pinned.
bool evictOldest(ChunkStore &store)
{
    for (auto it = store.insertionOrder.begin(); it != store.insertionOrder.end(); ++it) {
        if (store.pins.contains(*it)) {
            continue;
        }
        const auto chunk = store.chunks.find(*it);
        store.usedBytes -= chunk->second->size();
        store.chunks.erase(chunk);
        store.insertionOrder.erase(it);
        return true;
    }
    return false;
}

} // namespace

void pin(ChunkStore &store, const Manifest &manifest)
{
    for (const Digest &chunk : manifest.chunks) {
        ++store.pins[chunk];
    }
}

void unpin(ChunkStore &store, const Manifest &manifest)
{
    for (const Digest &chunk : manifest.chunks) {
        const auto it = store.pins.find(chunk);
        if (it != store.pins.end() && --it->second == 0) {
            store.pins.erase(it);
        }
    }
}

Result<void> put(ChunkStore &store, const Digest &digest, ChunkBytes bytes)
{
    if (store.chunks.contains(digest)) {
        return {};
    }
    while (store.usedBytes + bytes->size() > store.maxBytes) {
        if (!evictOldest(store)) {
            return failure(ErrorCode::Exhausted, "the chunk store is full and all of its chunks are pinned");
        }
    }
    store.usedBytes += bytes->size();
    store.chunks.emplace(digest, std::move(bytes));
    store.insertionOrder.push_back(digest);
    return {};
}

ChunkBytes get(const ChunkStore &store, const Digest &digest)
{
    const auto it = store.chunks.find(digest);
    return it == store.chunks.end() ? nullptr : it->second;
}

std::vector<std::size_t> missingChunks(const ChunkStore &store, const Manifest &manifest)
{
    std::vector<std::size_t> missing;
    for (std::size_t i = 0; i < manifest.chunks.size(); ++i) {
        if (!store.chunks.contains(manifest.chunks[i])) {
            missing.push_back(i);
        }
    }
    return missing;
}

} // namespace ibislock::weights
