// Selects the VMs from which a VM fetches each piece of a new version. Each piece has one owner in the deployment,
// which fetches it from the origin, and one in each failure domain, which fetches it from that owner; all other VMs
// fetch it from the owner in their domain. So the origin sends one copy, each domain receives one copy from outside,
// and the load is spread evenly over all links. VMs that already hold the whole version come before owners, those of
// the own domain first.
//
//     std::vector<PieceSource> sources = pieceSources(5, "10.0.0.1", "domain-a", members);

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ibislock::weights
{

/// A VM that takes part in the distribution of a version.
struct DistributionMember
{
    std::string vm;
    std::string domain;
    bool hasVersion = false; ///< Whether the VM holds the whole version.

    friend bool operator==(const DistributionMember &, const DistributionMember &) = default;
};

/// A VM, or the origin, from which a piece can be requested.
struct PieceSource
{
    std::string vm; ///< Empty for the origin.
    bool isFetching = false; ///< It is fetching the piece itself: the request waits for it.
    bool isSubstitute = false; ///< Replaces the previous source if that is unreachable; then the request waits for it.
};

/// Returns the sources of a piece in the order in which to request it; the origin is always the last. Whether
/// a VM may turn to it is decided by origin_turns.h.
/// @param piece the index of the piece.
/// @param self, domain the requesting VM and its failure domain.
/// @param members all VMs that take part; `self` may be among them.
std::vector<PieceSource> pieceSources(int piece, std::string_view self, std::string_view domain,
                                      const std::vector<DistributionMember> &members);

/// The role of a VM in the distribution of a piece.
enum class PieceRole {
    Owner, ///< Fetches the piece from the origin for all VMs.
    DomainOwner, ///< Fetches the piece from its owner for the own domain.
    Member, ///< Fetches the piece from the owner in the own domain, or from a VM that holds it.
};

/// A piece, the role of this VM for it, and its sources.
struct PiecePlan
{
    int piece = 0;
    PieceRole role = PieceRole::Member;
    std::vector<PieceSource> sources;
};

/// Plans the fetches of all pieces of a version. The pieces that this VM owns come first, then those that it fetches
/// for its domain, then the others. Other VMs wait for the first two kinds; in another order, VMs could wait for each
/// other in a cycle.
/// @param pieces the number of pieces.
std::vector<PiecePlan> planPieces(int pieces, std::string_view self, std::string_view domain,
                                  const std::vector<DistributionMember> &members);

/// Returns the position of a VM in the order in which VMs load a version. The order alternates between domains, so that
/// each domain keeps VMs that serve.
/// @return the position as a fraction: 0 for the first VM, below 1 for the last.
double rolloutPosition(std::string_view self, std::string_view domain, const std::vector<DistributionMember> &members);

} // namespace ibislock::weights
