#include "ibislock/weights/piece_sources.h"

#include "ibislock/weights/rendezvous.h"

#include <algorithm>
#include <set>

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
        // When the owner is lost or slow, others of the domain may have got the piece before.
        for (std::size_t n = 1; n < inDomain.size(); ++n) {
            if (inDomain[n] != self) {
                out.push_back({.vm = inDomain[n], .waits = false});
            }
        }
        if (inAll.front() != self && inAll.front() != inDomain.front()) {
            out.push_back({.vm = inAll.front(), .waits = false});
        }
    } else if (!heldNearby && inAll.front() != self) {
        out.push_back({.vm = inAll.front(), .waits = true});
    }
    addHolders(out, key, self, domain, false, members);
    out.push_back({});
    return out;
}

std::vector<PiecePlan> planPieces(int pieces, std::string_view self, std::string_view domain,
                                  const std::vector<SpreadMember> &members)
{
    std::set<std::string> nearby;
    for (const SpreadMember &member : members) {
        if (member.domain == domain) {
            nearby.insert(member.vm);
        }
    }
    const auto rank = [&](const PiecePlan &plan) {
        const PieceSource &first = plan.sources.front();
        return first.vm.empty() ? 0 : (nearby.contains(first.vm) ? 2 : 1);
    };
    std::vector<PiecePlan> out;
    for (int piece = 0; piece < pieces; ++piece) {
        out.push_back({.piece = piece, .sources = pieceSources(piece, self, domain, members)});
    }
    // Each VM begins at another piece, so that owners are not all asked for the same one first.
    const auto turn = pieces == 0 ? 0 : static_cast<std::ptrdiff_t>(rendezvousWeight("begin", self) % static_cast<std::uint64_t>(pieces));
    std::rotate(out.begin(), out.begin() + turn, out.end());
    std::stable_sort(out.begin(), out.end(), [&](const PiecePlan &a, const PiecePlan &b) { return rank(a) < rank(b); });
    return out;
}

} // namespace ibislock::weights
