// The order of the VMs that own a piece, in the deployment and in each failure domain.

#pragma once

#include "ibislock/weights/piece_sources.h"

#include <map>

namespace ibislock::weights
{

/// The VMs of each domain in the order of their addresses, including the requesting VM.
using Domains = std::map<std::string, std::vector<std::string>>;

Domains domainsOf(std::string_view self, std::string_view domain, const std::vector<DistributionMember> &members);

/// Returns the VMs of a domain in the order in which they own a piece. Ownership rotates, so that all VMs own the same
/// number of pieces.
std::vector<std::string> ownersIn(const Domains &domains, const std::string &domain, int piece);

/// Returns the index of the domain whose VM owns a piece.
int firstDomain(int piece, int domains);

/// Returns the domains in the order in which their VMs own a piece. Ownership rotates over the domains.
std::vector<std::string> domainOrder(const Domains &domains, int piece);

} // namespace ibislock::weights
