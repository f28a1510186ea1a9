#include "ibislock/requests/prefix_index.h"

#include <algorithm>
#include <xxhash.h>

namespace ibislock::requests
{

namespace
{

/// Extends the match of a target by a block, if the target holds all blocks before it.
void extendMatch(std::vector<PrefixMatch> &matches, std::uint32_t target, std::uint32_t block)
{
    const auto it = std::find_if(matches.begin(), matches.end(),
                                 [target](const PrefixMatch &match) { return match.target == target; });
    if (it != matches.end() && it->blocks == block) {
        ++it->blocks;
    } else if (it == matches.end() && block == 0) {
        matches.push_back({.target = target, .blocks = 1});
    }
}

Millis lifetimeOf(const PrefixIndex &index, std::uint32_t target)
{
    const auto it = index.lifetimes.find(target);
    return it == index.lifetimes.end() ? index.options.lifetime : it->second;
}

} // namespace

std::vector<std::uint64_t> prefixBlocks(std::string_view scope, std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t hash = XXH3_64bits(scope.data(), scope.size());
    const std::size_t count = std::min(prompt.size() / PrefixBlockBytes, PrefixBlocksMax);
    for (std::size_t i = 0; i < count; ++i) {
        hash = XXH3_64bits_withSeed(prompt.data() + i * PrefixBlockBytes, PrefixBlockBytes, hash);
        blocks.push_back(hash);
    }
    return blocks;
}

void recordSend(PrefixIndex &index, const std::vector<std::uint64_t> &blocks, std::uint32_t target, Millis now)
{
    const Millis until = now + lifetimeOf(index, target);
    for (const std::uint64_t block : blocks) {
        const auto [it, isNew] = index.blocks.try_emplace(block);
        if (isNew) {
            index.insertionOrder.push_back(block);
        }
        auto &holders = it->second;
        auto slot = std::find_if(holders.begin(), holders.end(),
                                 [&](const PrefixHolder &holder) { return holder.target == target; });
        if (slot == holders.end()) {
            slot = std::min_element(holders.begin(), holders.end(), [](const PrefixHolder &a, const PrefixHolder &b) {
                return a.expiresAt < b.expiresAt;
            });
        }
        *slot = {.target = target, .expiresAt = until};
    }
    while (index.blocks.size() > index.options.blocksMax) {
        index.blocks.erase(index.insertionOrder.front());
        index.insertionOrder.pop_front();
    }
}

void recordCachedBlocks(PrefixIndex &index, std::uint32_t target, std::uint32_t expectedBlocks,
                        std::uint32_t cachedBlocks)
{
    if (expectedBlocks == 0) {
        return;
    }
    const PrefixIndexOptions &options = index.options;
    Millis &lifetime = index.lifetimes.try_emplace(target, options.lifetime).first->second;
    const Millis adapted = cachedBlocks * 2 < expectedBlocks ? lifetime / 2 : lifetime + lifetime / 10;
    lifetime = std::clamp(adapted, options.lifetimeMin, options.lifetimeMax);
}

std::vector<PrefixMatch> findMatches(const PrefixIndex &index, const std::vector<std::uint64_t> &blocks, Millis now)
{
    std::vector<PrefixMatch> matches;
    for (std::uint32_t i = 0; i < blocks.size(); ++i) {
        const auto it = index.blocks.find(blocks[i]);
        if (it == index.blocks.end()) {
            break;
        }
        for (const PrefixHolder &holder : it->second) {
            if (holder.expiresAt > now) {
                extendMatch(matches, holder.target, i);
            }
        }
    }
    return matches;
}

} // namespace ibislock::requests
