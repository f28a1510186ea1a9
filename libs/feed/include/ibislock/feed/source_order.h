// Chooses the sources of a VM: the entry VMs of its failure domain from which it requests records of the operators'
// topic. One entry VM reads the store; the others form a tree below it, so that no VM's link carries a copy for each of
// them. All compute the same tree from the same addresses. This bounds the traffic of desired states of hundreds of
// kilobytes that arrive every second over links that a domain shares.
//
//     std::vector<std::string> sources = sourcesInTree("10.0.0.3", entryVms);    // empty: read the store

#pragma once

#include "ibislock/base/clock.h"

#include <string>
#include <string_view>
#include <vector>

namespace ibislock::feed
{

/// Greatest number of children of a VM in the tree; with four, 21 VMs are at most three hops from the store.
inline constexpr std::size_t TreeFanOut = 4;

/// Greatest number of sources that are tried before the store is read.
inline constexpr std::size_t MaxSources = 2;

/// Returns the sources of an entry VM, in the order in which it tries them.
/// @param self the address of the entry VM.
/// @param entryVms the addresses of entry VMs of the domain; `self` may be among them.
/// @return its parent and the root of the tree; empty if `self` is the root.
std::vector<std::string> sourcesInTree(std::string_view self, const std::vector<std::string> &entryVms);

/// Returns the sources of a VM that isn't part of the tree or whose calls the store rejects; the choice is spread over
/// all entry VMs.
/// @param self the address of the VM.
/// @param entryVms the addresses of entry VMs of the domain; `self` may be among them.
std::vector<std::string> sourcesOutsideTree(std::string_view self, const std::vector<std::string> &entryVms);

/// When the VMs of a domain may read records from the store by themselves, as their sources don't have them. They take
/// turns, so that the copies that cross the link to the store in a time don't depend on the number of VMs.
struct StoreTurns
{
    std::vector<std::string> order; ///< The VMs, in the order of their turns; the first may always read.
    Millis first{0}; ///< The time after which the second VM has its turn.
    Millis interval{1}; ///< Between the starts of two turns.
};

/// Returns the turns of the entry VMs of a domain. All compute the same order from the same addresses.
/// @param entryVms the addresses of all entry VMs of the domain that are known.
StoreTurns storeTurns(const std::vector<std::string> &entryVms, Millis first, Millis interval);

/// Returns whether a VM may read. One that knows no other always may.
/// @param lagTime for how long records have been known that the VM lacks.
bool hasStoreTurn(const StoreTurns &turns, std::string_view vm, Millis lagTime);

/// Returns the VMs that had their turns last, the latest first; each but the first VM of the order is among them once
/// in a round.
/// @param n the number of VMs at most.
std::vector<std::string> recentStoreTurns(const StoreTurns &turns, Millis lagTime, std::size_t n);

} // namespace ibislock::feed
