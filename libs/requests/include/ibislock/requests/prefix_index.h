// Where prompt prefixes are likely to be cached.
//
//     std::vector<std::uint64_t> blocks = prefixBlocks("dala/forecast", prompt);
//     noteSent(index, blocks, target, now);
//     std::vector<PrefixMatch> matches = matchesOf(index, blocks, now);
//     noteCached(index, target, believedBlocks, cachedBlocks);  // what the engine really found
//
// A prompt is cut into blocks; the hash of each block covers everything before it, so equal hashes mean equal
// prefixes. What the index believes expires. Answers correct how fast: the engine says how much of the prompt it found
// in its cache, and a target that had dropped what it was believed to hold is believed for a shorter time from then on.
// An engine that says nothing, or says it late, leaves the lifetime as it is.

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

/// Bytes of a prompt that one block covers.
inline constexpr std::size_t PrefixBlockBytes = 256;

/// Blocks of a prompt that are looked at.
inline constexpr std::size_t PrefixBlocksMax = 32;

/// Targets that are remembered for one prefix.
inline constexpr std::size_t PrefixHoldersMax = 4;

/// Bounds of the index.
struct PrefixIndexOptions
{
    std::size_t blocksMax = 65536;
    Millis lifetime{30000}; ///< How long a target is believed at first to hold a prefix that it was sent.
    Millis lifetimeMin{1000};
    Millis lifetimeMax{120000};
};

/// A target that is believed to hold a prefix.
struct PrefixHolder
{
    std::uint32_t target = 0;
    Millis expiresAt{0};
};

/// The index.
struct PrefixIndex
{
    PrefixIndexOptions options;
    std::unordered_map<std::uint64_t, std::array<PrefixHolder, PrefixHoldersMax>> blocks;
    std::deque<std::uint64_t> insertionOrder; ///< In the order of insertion, to drop the oldest when full.
    std::unordered_map<std::uint32_t, Millis> lifetimes; ///< By target, where corrected.
};

/// Hashes the whole blocks of a prompt.
/// @param scope what else must agree for a cached prefix to be of use, such as the role.
std::vector<std::uint64_t> prefixBlocks(std::string_view scope, std::string_view prompt);

/// Notes that a target was sent a prompt.
void recordSend(PrefixIndex &index, const std::vector<std::uint64_t> &blocks, std::uint32_t target, Millis now);

/// Corrects how long a target is believed: half as long after it held less than half of what it was believed to hold,
/// a tenth longer after it held it.
void recordCachedBlocks(PrefixIndex &index, std::uint32_t target, std::uint32_t expectedBlocks,
                        std::uint32_t cachedBlocks);

/// A target and how many leading blocks of a prompt it is believed to hold.
struct PrefixMatch
{
    std::uint32_t target = 0;
    std::uint32_t blocks = 0;
};

/// Finds the targets that are believed to hold the beginning of a prompt.
std::vector<PrefixMatch> findMatches(const PrefixIndex &index, const std::vector<std::uint64_t> &blocks, Millis now);

} // namespace ibislock::requests
