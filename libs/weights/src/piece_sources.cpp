#include "ibislock/weights/piece_sources.h"

#include "domain_owners.h"
#include "ibislock/weights/rendezvous.h"

#include <algorithm>
#include <map>
#include <set>

namespace ibislock::weights
{

namespace
{

/// Holders that are tried before the next kind of source; more would only delay the origin when all are unreachable.
constexpr std::size_t HoldersMax = 3;

/// VMs of the domain that are tried in addition to the owner and its substitute. With all of them, a slow owner would
/// cause a message from each VM to each other VM for each piece.
constexpr std::size_t OthersMax = 2;

/// Returns the VM that fetches a piece from the origin.
std::string ownerOf(const Domains &domains, int piece)
{
    return ownersIn(domains, domainOrder(domains, piece).front(), piece).front();
}

/// Adds at most `HoldersMax` other VMs that hold the version, in an order that differs between requesting VMs, so that
/// these share the load.
/// @param inside true to add VMs of the failure domain `domain`, false to add VMs of the other domains.
void addHolders(std::vector<PieceSource> &out, const std::string &key, std::string_view self, std::string_view domain,
                bool inside, const std::vector<DistributionMember> &members)
{
    std::vector<std::string> vms;
    for (const DistributionMember &member : members) {
        if (member.hasVersion && member.vm != self && (member.domain == domain) == inside) {
            vms.push_back(member.vm);
        }
    }
    std::vector<std::string> order = rendezvousOrder(key + std::string(self), vms);
    order.resize(std::min(order.size(), HoldersMax));
    for (std::string &vm : order) {
        out.push_back({.vm = std::move(vm), .isFetching = false});
    }
}

/// Adds VMs of the domain that may have received the piece already, in an order that differs between requesting VMs.
/// @param inDomain all VMs of the domain; the owner and its substitute come first.
void addOthers(std::vector<PieceSource> &out, const std::string &key, std::string_view self,
               const std::vector<std::string> &inDomain)
{
    std::vector<std::string> others;
    for (std::size_t n = 2; n < inDomain.size(); ++n) {
        if (inDomain[n] != self) {
            others.push_back(inDomain[n]);
        }
    }
    others = rendezvousOrder(key + std::string(self), others);
    others.resize(std::min(others.size(), OthersMax));
    for (std::string &vm : others) {
        out.push_back({.vm = std::move(vm), .isFetching = false});
    }
}

} // namespace

Domains domainsOf(std::string_view self, std::string_view domain, const std::vector<DistributionMember> &members)
{
    Domains out;
    out[std::string(domain)].emplace_back(self);
    for (const DistributionMember &member : members) {
        if (member.vm != self) {
            out[member.domain].push_back(member.vm);
        }
    }
    for (auto &[name, vms] : out) {
        std::sort(vms.begin(), vms.end());
    }
    return out;
}

std::vector<std::string> ownersIn(const Domains &domains, const std::string &domain, int piece)
{
    std::vector<std::string> out = domains.at(domain);
    const std::size_t turn = static_cast<std::size_t>(piece + 1) / domains.size() % out.size();
    std::rotate(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(turn), out.end());
    return out;
}

int firstDomain(int piece, int domains)
{
    return (piece + 1) % domains;
}

std::vector<std::string> domainOrder(const Domains &domains, int piece)
{
    std::vector<std::string> out;
    for (const auto &[name, vms] : domains) {
        out.push_back(name);
    }
    std::rotate(out.begin(), out.begin() + firstDomain(piece, static_cast<int>(domains.size())), out.end());
    return out;
}

std::vector<PieceSource> pieceSources(int piece, std::string_view self, std::string_view domain,
                                      const std::vector<DistributionMember> &members)
{
    const std::string key = std::to_string(piece);
    std::vector<PieceSource> out;
    addHolders(out, key, self, domain, true, members);
    const bool heldNearby = !out.empty();
    const Domains domains = domainsOf(self, domain, members);
    const auto inDomain = ownersIn(domains, std::string(domain), piece);
    const std::string owner = ownerOf(domains, piece);
    if (!heldNearby && inDomain.front() != self) {
        out.push_back({.vm = inDomain.front(), .isFetching = true});
        // If the owner is slow, other VMs of the domain may have received the piece already. If it is unreachable, all
        // VMs of the domain turn to the same substitute; otherwise each would fetch the piece from the origin.
        if (inDomain.size() > 1 && inDomain[1] != self) {
            out.push_back({.vm = inDomain[1], .isFetching = false, .isSubstitute = true});
        }
        addOthers(out, key, self, inDomain);
        if (owner != self && owner != inDomain.front()) {
            out.push_back({.vm = owner, .isFetching = false});
        }
    } else if (!heldNearby && owner != self) {
        out.push_back({.vm = owner, .isFetching = true});
    }
    addHolders(out, key, self, domain, false, members);
    out.push_back({});
    return out;
}

double rolloutPosition(std::string_view self, std::string_view domain, const std::vector<DistributionMember> &members)
{
    double before = 0;
    double all = 0;
    const Domains domains = domainsOf(self, domain, members);
    const auto &own = domains.at(std::string(domain));
    const auto place = static_cast<std::size_t>(std::find(own.begin(), own.end(), self) - own.begin());
    for (const auto &[name, vms] : domains) {
        all += static_cast<double>(vms.size());
        const bool beforeOwn = name < domain;
        before += static_cast<double>(std::min(vms.size(), place + (beforeOwn ? 1 : 0)));
    }
    return before / all;
}

std::vector<PiecePlan> planPieces(int pieces, std::string_view self, std::string_view domain,
                                  const std::vector<DistributionMember> &members)
{
    std::set<std::string> nearby;
    for (const DistributionMember &member : members) {
        if (member.domain == domain) {
            nearby.insert(member.vm);
        }
    }
    const auto roleOf = [&](const PieceSource &first) {
        if (first.vm.empty()) {
            return PieceRole::Owner;
        }
        return nearby.contains(first.vm) ? PieceRole::Member : PieceRole::DomainOwner;
    };
    std::vector<PiecePlan> out;
    for (int piece = 0; piece < pieces; ++piece) {
        auto sources = pieceSources(piece, self, domain, members);
        const PieceRole role = roleOf(sources.front());
        out.push_back({.piece = piece, .role = role, .sources = std::move(sources)});
    }
    // Each VM starts at a different piece, so that the requests are spread over the owners.
    const auto turn = pieces == 0
        ? 0
        : static_cast<std::ptrdiff_t>(rendezvousWeight("begin", self) % static_cast<std::uint64_t>(pieces));
    std::rotate(out.begin(), out.begin() + turn, out.end());
    std::stable_sort(out.begin(), out.end(), [](const PiecePlan &a, const PiecePlan &b) { return a.role < b.role; });
    return out;
}

} // namespace ibislock::weights
