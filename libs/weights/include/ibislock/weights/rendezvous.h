// Rendezvous hashing: every VM computes the same order of VMs for a key without communication.
//
//     std::vector<std::string> order = rendezvousOrder(chunkDigestBytes, vms);   // order[0] fetches first

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ibislock::weights
{

/// Returns the weight of a VM for a key; the VM with the highest weight comes first.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view vm);

/// Returns the VMs in descending order of their weight for a key. Removing a VM leaves the order of the others
/// unchanged.
std::vector<std::string> rendezvousOrder(std::string_view key, std::span<const std::string> vms);

} // namespace ibislock::weights
