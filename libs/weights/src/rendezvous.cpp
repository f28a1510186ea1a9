#include "ibislock/weights/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <xxhash.h>

namespace ibislock::weights
{

std::uint64_t rendezvousWeight(std::string_view key, std::string_view vm)
{
    return XXH3_64bits_withSeed(vm.data(), vm.size(), XXH3_64bits(key.data(), key.size()));
}

std::vector<std::string> rendezvousOrder(std::string_view key, std::span<const std::string> vms)
{
    const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(vms.size());
    for (const std::string &vm : vms) {
        weighted.emplace_back(XXH3_64bits_withSeed(vm.data(), vm.size(), seed), vm);
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<std::string> order;
    order.reserve(weighted.size());
    for (auto &[weight, vm] : weighted) {
        order.push_back(std::move(vm));
    }
    return order;
}

} // namespace ibislock::weights
