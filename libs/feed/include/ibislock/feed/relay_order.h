// Chooses the relays of a failure domain: the VMs that read the listings of targets from the store and serve them to
// the others. If each VM of a large deployment read the topic, its heartbeats would fill the links between regions, and
// calls to the store would grow with the number of VMs. Relays are chosen among the listed target VMs, so that all VMs
// of a domain compute the same order without communication. There is no election; a VM that finds no fresh relay reads
// the store.
//
//     std::vector<std::string> relays = relaysFor("10.0.0.1", domainVms);    // empty: read the store

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ibislock::feed
{

/// Number of target VMs of a domain that share a relay, which serves as many entry VMs besides. A response costs about
/// 30 us.
inline constexpr std::size_t VmsPerRelay = 32;

/// Number of backups that are tried when no relay responds, before the store is read.
inline constexpr std::size_t BackupRelays = 1;

/// Returns the VMs from which a VM requests listings, in the order in which it tries them.
/// @param self the address of the requesting VM.
/// @param vms the addresses of the target VMs in its domain; `self` may be among them.
/// @return the addresses; empty if the VM has to read the store.
std::vector<std::string> relaysFor(std::string_view self, const std::vector<std::string> &vms);

/// Returns whether a VM is a relay or a backup, i.e. whether others may request listings from it.
bool isRelayOrBackup(std::string_view self, const std::vector<std::string> &vms);

} // namespace ibislock::feed
