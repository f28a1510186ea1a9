// Manifests list the fixed-size chunks that a version of a model or adapter consists of.
//
//     Result<Manifest> manifest = manifestFromJson(text);
//     rootDigest(*manifest) == assignment.manifest        // else the origin changed the version
//     verifyChunk(*manifest, index, bytes);

#pragma once

#include "ibislock/base/digest.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ibislock::weights
{

/// The largest chunk size that a manifest may specify.
inline constexpr std::uint64_t ChunkBytesMax = 8ULL << 20;

/// The most chunks that a manifest may list.
inline constexpr std::uint64_t ChunkCountMax = 1ULL << 20;

/// One immutable version: its size and the digest of each chunk.
struct Manifest
{
    std::string model;
    std::string version;
    std::uint64_t sizeBytes = 0;
    std::uint64_t chunkBytes = 0;
    std::vector<Digest> chunks;

    bool operator==(const Manifest &) const = default;
};

/// Creates the manifest of some content.
/// @param chunkBytes the size of each chunk but the last.
Manifest makeManifest(std::string model, std::string version, std::string_view content, std::uint64_t chunkBytes);

/// Returns the size of one chunk in bytes; the last one may be shorter than the others.
std::uint64_t chunkSize(const Manifest &manifest, std::size_t index);

/// Returns the digest that identifies the whole version. It covers the sizes and every chunk's digest, in order.
Digest rootDigest(const Manifest &manifest);

/// Serializes a manifest as JSON.
std::string manifestToJson(const Manifest &manifest);

/// Parses a manifest and checks that its sizes are consistent.
/// @return the manifest, or InvalidArgument.
Result<Manifest> manifestFromJson(std::string_view text);

/// Checks the size and digest of a chunk against its manifest.
/// @return nothing, or Corrupt if they differ.
Result<void> verifyChunk(const Manifest &manifest, std::size_t index, std::string_view bytes);

} // namespace ibislock::weights
