#include "holdings.h"

namespace ibislock::target
{

namespace
{

constexpr std::size_t BitsPerByte = 8;

void setBit(rpc::HaveReply &held, std::size_t index)
{
    char &byte = held.bitmap[index / BitsPerByte];
    byte = static_cast<char>(static_cast<unsigned char>(byte) | (1U << (index % BitsPerByte)));
    ++held.revision;
}

} // namespace

std::vector<bool> holdVersion(Holdings &holdings, const Digest &root, const weights::Manifest &manifest)
{
    const std::lock_guard lock(holdings.mutex);
    if (holdings.manifests.insert_or_assign(root, manifest).second || !holdings.held.contains(root)) {
        weights::pin(holdings.store, manifest);
        holdings.held[root] = {.revision = 1,
                               .bitmap = std::string((manifest.chunks.size() + BitsPerByte - 1) / BitsPerByte, '\0')};
    }
    std::vector<bool> held(manifest.chunks.size());
    rpc::HaveReply &reply = holdings.held.at(root);
    for (std::size_t i = 0; i < held.size(); ++i) {
        held[i] = weights::get(holdings.store, manifest.chunks[i]) != nullptr;
        if (held[i]) {
            setBit(reply, i);
        }
    }
    return held;
}

void dropOtherVersions(Holdings &holdings, const Digest &root)
{
    const std::lock_guard lock(holdings.mutex);
    for (const auto &[other, manifest] : holdings.manifests) {
        if (other != root) {
            weights::unpin(holdings.store, manifest);
            holdings.held.erase(other);
        }
    }
    std::erase_if(holdings.manifests, [&](const auto &it) { return it.first != root; });
}

Result<void> holdChunk(Holdings &holdings, const Digest &root, std::size_t index, weights::ChunkBytes bytes)
{
    const std::lock_guard lock(holdings.mutex);
    const auto it = holdings.manifests.find(root);
    if (it == holdings.manifests.end()) {
        return failure(ErrorCode::NotFound, "the version is not held");
    }
    auto put = weights::put(holdings.store, it->second.chunks.at(index), std::move(bytes));
    if (put) {
        setBit(holdings.held.at(root), index);
    }
    return put;
}

std::optional<weights::Manifest> findManifest(Holdings &holdings, const Digest &root)
{
    const std::lock_guard lock(holdings.mutex);
    const auto it = holdings.manifests.find(root);
    return it == holdings.manifests.end() ? std::nullopt : std::optional(it->second);
}

} // namespace ibislock::target
