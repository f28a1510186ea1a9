// Selects the VMs that monitor a VM, and the VMs that it exchanges membership updates with.
//
// Every VM has a few delegates: the entry VMs that come first in the VM's rendezvous order of the entry VMs of its
// failure domain. The VM sends them its heartbeats, and they detect its failure. All VMs compute the delegates in the
// same way, from their own view of the membership.
//
//     std::vector<std::string> delegates = delegatesOf(view, "t1", 2, options, now);

#pragma once

#include "ibislock/membership/view.h"

namespace ibislock::membership
{

/// Sorts names by rendezvous hashing: by a hash of each name with a key. Adding or removing a name does not change the
/// order of the others.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> names);

/// Returns the position of a name in the rendezvous order of other names; `key` itself is not counted.
/// @param names the names to order; may or may not contain the name itself.
std::size_t rendezvousRank(std::string_view key, const std::vector<std::string> &names, std::string_view name);

/// Lists the entry VMs that requests may be sent to: those that are neither unreachable nor leaving.
/// @param domain limits the list to this failure domain; empty for all domains.
std::vector<std::string> availableEntryVms(const View &view, std::string_view domain, const ViewOptions &options,
                                           Millis now);

/// Returns the delegates of a VM. If its own domain has too few entry VMs, entry VMs of other domains fill the list.
/// @param limit the maximum number of delegates.
std::vector<std::string> delegatesOf(const View &view, std::string_view vm, std::size_t limit,
                                     const ViewOptions &options, Millis now);

/// Returns the entry VMs of other domains that an entry VM exchanges membership updates with, one for each domain.
std::vector<std::string> crossDomainPeersOf(const View &view, std::string_view vm, const ViewOptions &options,
                                            Millis now);

} // namespace ibislock::membership
