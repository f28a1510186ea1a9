// Which VMs read the listings of targets from the store for their failure domain, and which are asked by the others.
// Answers a large deployment: if each VM read the topic, its heartbeats would fill the links between regions, and calls
// to the store would grow with the number of VMs. Target VMs are listed, so that all of a domain compute the same order
// without talking; nobody is elected, and who finds no relay that is fresh reads the store.
//
//     std::vector<std::string> relays = relaysFor("10.0.0.1", vmsOfTheDomain);    // empty: read the store

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ibislock::feed
{

/// How many target VMs of a domain share one relay; each answers as many entry VMs besides. An answer costs some 30 us.
inline constexpr std::size_t VmsPerRelay = 32;

/// How many further VMs are asked when no relay answers, before the store is.
inline constexpr std::size_t BackupRelays = 1;

/// The VMs that one VM asks for listings, in their order.
/// @param self the address of the VM that asks.
/// @param vms the addresses of the target VMs in its domain; `self` may be among them.
/// @return nothing if the VM is to read the store.
std::vector<std::string> relaysFor(std::string_view self, const std::vector<std::string> &vms);

/// Tells whether others may ask a VM: it is a relay, or a substitute of one.
bool isRelayOrBackup(std::string_view self, const std::vector<std::string> &vms);

} // namespace ibislock::feed
