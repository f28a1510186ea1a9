#include "ibislock/serving/load_watch.h"

#include <algorithm>
#include <cstdint>

namespace ibislock::serving
{

namespace
{

/// A number that differs between entry VMs for the same engine, and stays the same from one choice to the next.
std::uint64_t rankOf(std::string_view self, std::string_view engine)
{
    constexpr std::uint64_t FnvOffset = 14695981039346656037U;
    constexpr std::uint64_t FnvPrime = 1099511628211U;
    std::uint64_t hash = FnvOffset;
    for (const std::string_view part : {self, std::string_view("/"), engine}) {
        for (const char c : part) {
            hash = (hash ^ static_cast<unsigned char>(c)) * FnvPrime;
        }
    }
    // The last characters alone hardly reach the upper bits, which decide the order.
    constexpr std::uint64_t Mix = 0xff51afd7ed558ccdU;
    hash = (hash ^ (hash >> 33)) * Mix;
    return hash ^ (hash >> 33);
}

} // namespace

std::set<std::string> watchedTargets(std::string_view self, std::string_view domain,
                                     const std::vector<WatchCandidate> &engines, const WatchLimits &limits)
{
    std::vector<std::pair<std::uint64_t, const WatchCandidate *>> own;
    std::vector<std::pair<std::uint64_t, const WatchCandidate *>> other;
    for (const WatchCandidate &engine : engines) {
        (engine.domain == domain ? own : other).emplace_back(rankOf(self, engine.id), &engine);
    }
    const std::size_t most = limits.own + limits.other;
    const std::size_t fromOther = std::min(other.size(), std::max(limits.other, most - std::min(most, own.size())));
    const std::size_t fromOwn = std::min(own.size(), most - fromOther);
    std::sort(own.begin(), own.end());
    std::sort(other.begin(), other.end());
    std::set<std::string> out;
    for (std::size_t n = 0; n < fromOwn; ++n) {
        out.insert(own[n].second->id);
    }
    for (std::size_t n = 0; n < fromOther; ++n) {
        out.insert(other[n].second->id);
    }
    return out;
}

} // namespace ibislock::serving
