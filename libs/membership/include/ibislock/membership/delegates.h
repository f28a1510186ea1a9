// Who watches whom, and who exchanges news with whom.
//
// Every VM has a few delegates: the entry VMs of its own failure domain that come first in an order which depends on
// the VM. It sends them its signs of life, and they judge it. All VMs work the delegates out alike, from what they
// know.
//
//     std::vector<std::string> delegates = delegatesOf(view, "t1", 2, options, now);

#pragma once

#include "ibislock/membership/view.h"

namespace ibislock::membership
{

/// Orders names by a hash of each with a key; the order of the rest stays when a name comes or goes.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> names);

/// Gives a name's place in that order.
/// @param names may or may not contain the name itself.
std::size_t rendezvousRank(std::string_view key, const std::vector<std::string> &names, std::string_view name);

/// Lists the entry VMs that may be asked: those that are not silent nor leaving.
/// @param domain only those of this domain; empty for all.
std::vector<std::string> availableEntryVms(const View &view, std::string_view domain, const ViewOptions &options,
                                           Millis now);

/// Gives a VM's delegates. Where its own domain has too few entry VMs, those of other domains take the place.
/// @param most how many.
std::vector<std::string> delegatesOf(const View &view, std::string_view vm, std::size_t limit,
                                     const ViewOptions &options, Millis now);

/// Gives the entry VMs of other domains that an entry VM exchanges news with, one for each domain.
std::vector<std::string> crossDomainPeersOf(const View &view, std::string_view vm, const ViewOptions &options,
                                            Millis now);

} // namespace ibislock::membership
