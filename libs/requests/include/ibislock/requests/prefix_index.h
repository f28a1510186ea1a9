// Index of the targets that are likely to have a prompt prefix in their engine's prefix cache.
//
//     std::vector<std::uint64_t> blocks = prefixBlocks("dala/forecast", prompt);
//     recordSend(index, blocks, target, now);
//     std::vector<PrefixMatch> matches = findMatches(index, blocks, now);
//     recordCachedBlocks(index, target, expectedBlocks, cachedBlocks);  // as the engine reports
//
// A prompt is split into blocks. The hash of each block covers everything before it, so equal hashes mean equal
// prefixes. Entries of the index expire after a lifetime that is adapted for each target: the engine reports how much
// of the prompt it found in its cache, and the lifetime of a target is reduced if it had evicted what the index
// expected it to hold. If the engine reports nothing, or reports it late, the lifetime stays as it is.

#pragma once

#include "ibislock/base/clock.h"

#include <array>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ibislock::requests
{

/// The size of a block of a prompt, in bytes.
inline constexpr std::size_t PrefixBlockBytes = 256;

/// The number of leading blocks of a prompt that are indexed.
inline constexpr std::size_t PrefixBlocksMax = 32;

/// The number of targets that are stored for one prefix.
inline constexpr std::size_t PrefixHoldersMax = 4;

/// Size of the index, and bounds of the lifetimes of its entries.
struct PrefixIndexOptions
{
    std::size_t blocksMax = 65536;
    Millis lifetime{30000}; ///< Initial time for which a target is expected to hold a prefix.
    Millis lifetimeMin{1000};
    Millis lifetimeMax{120000};
};

/// A target that is expected to hold a prefix in its cache.
struct PrefixHolder
{
    std::uint32_t target = 0;
    Millis expiresAt{0};
};

/// An index of prefixes and the targets that are expected to hold them.
struct PrefixIndex
{
    PrefixIndexOptions options;
    std::unordered_map<std::uint64_t, std::array<PrefixHolder, PrefixHoldersMax>> blocks;
    std::deque<std::uint64_t>
        insertionOrder; ///< Blocks in order of insertion; the oldest is evicted from a full index.
    std::unordered_map<std::uint32_t, Millis> lifetimes; ///< Adapted lifetimes, by target.
};

/// Hashes the complete blocks of a prompt.
/// @param scope what else must be equal for a cached prefix to be usable, such as the role.
std::vector<std::uint64_t> prefixBlocks(std::string_view scope, std::string_view prompt);

/// Records that a prompt was sent to a target.
void recordSend(PrefixIndex &index, const std::vector<std::uint64_t> &blocks, std::uint32_t target, Millis now);

/// Adapts the lifetime of a target's entries: halves it if the target held less than half of the blocks that it was
/// expected to hold, and extends it by a tenth otherwise.
void recordCachedBlocks(PrefixIndex &index, std::uint32_t target, std::uint32_t expectedBlocks,
                        std::uint32_t cachedBlocks);

/// A target, and the number of leading blocks of a prompt that it is expected to hold.
struct PrefixMatch
{
    std::uint32_t target = 0;
    std::uint32_t blocks = 0;
};

/// Finds the targets that are expected to hold the beginning of a prompt.
std::vector<PrefixMatch> findMatches(const PrefixIndex &index, const std::vector<std::uint64_t> &blocks, Millis now);

} // namespace ibislock::requests
