// Which entry VMs of a failure domain a VM asks for records of the operators' topic. One of them reads the store; the
// others ask along a tree, so that no VM's link carries a copy for each. All compute the same order from the same
// addresses. Answers desired states of hundreds of kilobytes that come each second, over links that a domain shares.
//
//     std::vector<std::string> sources = sourcesInTree("10.0.0.3", entryVms);    // empty: read the store

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ibislock::feed
{

/// How many VMs ask one; with four, 21 VMs are three steps from the store at most.
inline constexpr std::size_t TreeFanOut = 4;

/// How many VMs are asked at most before the store is.
inline constexpr std::size_t MaxSources = 2;

/// The entry VMs that one of them asks, in their order.
/// @param entryVms the addresses of entry VMs of the domain; `self` may be among them.
/// @return the VM above it and the first of the tree; nothing if `self` is the first.
std::vector<std::string> sourcesInTree(std::string_view self, const std::vector<std::string> &entryVms);

/// The entry VMs that a VM asks which stands in no tree, or which the store turns away; spread over all.
std::vector<std::string> sourcesOutsideTree(std::string_view self, const std::vector<std::string> &entryVms);

} // namespace ibislock::feed
