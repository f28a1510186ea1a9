#include "ibislock/weights/piece_sources.h"

#include "ibislock/weights/rendezvous.h"

#include <algorithm>

namespace ibislock::weights
{

namespace
{

/// Holders asked in a row before the next kind of source; more only delays the origin when all are cut off.
constexpr std::size_t HoldersAsked = 3;

/// The VMs of one domain, or of all, in the order in which they own a piece.
std::vector<std::string> owners(const std::string &key, std::string_view domain, std::string_view self,
                                std::string_view selfDomain, const std::vector<SpreadMember> &members)
{
    std::vector<std::string> vms;
    for (const SpreadMember &member : members) {
        if (member.vm != self && (domain.empty() || member.domain == domain)) {
            vms.push_back(member.vm);
        }
    }
    if (domain.empty() || domain == selfDomain) {
        vms.emplace_back(self);
    }
    return rendezvousOrder(key, vms);
}

/// Adds holders in an order of the asker's own, so that askers spread over them.
void addHolders(std::vector<PieceSource> &out, const std::string &key, std::string_view self, std::string_view domain,
                bool inside, const std::vector<SpreadMember> &members)
{
    std::vector<std::string> vms;
    for (const SpreadMember &member : members) {
        if (member.holds && member.vm != self && (member.domain == domain) == inside) {
            vms.push_back(member.vm);
        }
    }
    std::vector<std::string> order = rendezvousOrder(key + std::string(self), vms);
    order.resize(std::min(order.size(), HoldersAsked));
    for (std::string &vm : order) {
        out.push_back({.vm = std::move(vm), .waits = false});
    }
}

} // namespace

std::vector<PieceSource> pieceSources(int piece, std::string_view self, std::string_view domain,
                                      const std::vector<SpreadMember> &members)
{
    const std::string key = std::to_string(piece);
    std::vector<PieceSource> out;
    addHolders(out, key, self, domain, true, members);
    const bool heldNearby = !out.empty();
    const auto inDomain = owners(key, domain, self, domain, members);
    const auto inAll = owners(key, "", self, domain, members);
    if (!heldNearby && inDomain.front() != self) {
        out.push_back({.vm = inDomain.front(), .waits = true});
        if (inDomain.size() > 1 && inDomain[1] != self) {
            out.push_back({.vm = inDomain[1], .waits = false});
        }
    } else if (!heldNearby && inAll.front() != self) {
        out.push_back({.vm = inAll.front(), .waits = true});
    }
    addHolders(out, key, self, domain, false, members);
    out.push_back({});
    return out;
}

} // namespace ibislock::weights
