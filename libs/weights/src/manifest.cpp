#include "ibislock/weights/manifest.h"

#include <nlohmann/json.hpp>

namespace ibislock::weights
{

namespace
{

using nlohmann::json;

std::uint64_t chunkCount(std::uint64_t sizeBytes, std::uint64_t chunkBytes)
{
    return (sizeBytes + chunkBytes - 1) / chunkBytes;
}

bool hasHeader(const json &value)
{
    return value.is_object() && value.contains("model") && value["model"].is_string() && value.contains("version")
        && value["version"].is_string() && value.contains("size_bytes") && value["size_bytes"].is_number_unsigned()
        && value.contains("chunk_bytes") && value["chunk_bytes"].is_number_unsigned() && value.contains("chunks")
        && value["chunks"].is_array();
}

Result<void> readChunks(Manifest &manifest, const json &chunks)
{
    for (const json &item : chunks) {
        if (!item.is_string()) {
            return failure(ErrorCode::InvalidArgument, "a chunk digest in the manifest is not a string");
        }
        const auto digest = digestFromHex(item.get_ref<const std::string &>());
        if (!digest) {
            return tl::unexpected(digest.error());
        }
        manifest.chunks.push_back(*digest);
    }
    return {};
}

} // namespace

Manifest makeManifest(std::string model, std::string version, std::string_view content, std::uint64_t chunkBytes)
{
    Manifest manifest{.model = std::move(model),
                      .version = std::move(version),
                      .sizeBytes = content.size(),
                      .chunkBytes = chunkBytes,
                      .chunks = {}};
    for (std::uint64_t at = 0; at < content.size(); at += chunkBytes) {
        manifest.chunks.push_back(sha256(content.substr(at, chunkBytes)));
    }
    return manifest;
}

std::uint64_t chunkSize(const Manifest &manifest, std::size_t index)
{
    const std::uint64_t begin = index * manifest.chunkBytes;
    return std::min(manifest.chunkBytes, manifest.sizeBytes - std::min(manifest.sizeBytes, begin));
}

Digest rootDigest(const Manifest &manifest)
{
    std::string content = "ibislock-manifest-1\n" + std::to_string(manifest.sizeBytes) + "\n"
        + std::to_string(manifest.chunkBytes) + "\n";
    for (const Digest &chunk : manifest.chunks) {
        content += bytesOf(chunk);
    }
    return sha256(content);
}

std::string manifestToJson(const Manifest &manifest)
{
    json chunks = json::array();
    for (const Digest &chunk : manifest.chunks) {
        chunks.push_back(toHex(chunk));
    }
    return json{{"model", manifest.model},
                {"version", manifest.version},
                {"size_bytes", manifest.sizeBytes},
                {"chunk_bytes", manifest.chunkBytes},
                {"chunks", std::move(chunks)}}
        .dump();
}

Result<Manifest> manifestFromJson(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (value.is_discarded() || !hasHeader(value)) {
        return failure(ErrorCode::InvalidArgument, "the manifest is not valid JSON or lacks a required field");
    }
    Manifest manifest{.model = value["model"],
                      .version = value["version"],
                      .sizeBytes = value["size_bytes"],
                      .chunkBytes = value["chunk_bytes"],
                      .chunks = {}};
    if (manifest.chunkBytes == 0 || manifest.chunkBytes > ChunkBytesMax || manifest.sizeBytes == 0) {
        return failure(ErrorCode::InvalidArgument, "the manifest's sizes are out of range");
    }
    const std::uint64_t count = chunkCount(manifest.sizeBytes, manifest.chunkBytes);
    if (count > ChunkCountMax || value["chunks"].size() != count) {
        return failure(ErrorCode::InvalidArgument, "the manifest's number of chunks doesn't match its size");
    }
    const auto read = readChunks(manifest, value["chunks"]);
    if (!read) {
        return tl::unexpected(read.error());
    }
    return manifest;
}

Result<void> verifyChunk(const Manifest &manifest, std::size_t index, std::string_view bytes)
{
    if (index >= manifest.chunks.size() || bytes.size() != chunkSize(manifest, index)
        || sha256(bytes) != manifest.chunks[index]) {
        return failure(ErrorCode::Corrupt,
                       "chunk " + std::to_string(index) + " doesn't match the size and digest in its manifest");
    }
    return {};
}

} // namespace ibislock::weights
