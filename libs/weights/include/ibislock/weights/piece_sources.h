// Which VM a piece of a new version is asked from. Each piece has one owner in the deployment, which takes it from the
// origin, and one in each domain, which takes it from that owner; all others take it from their domain's owner. So the
// origin sends one copy, each domain gets one copy from outside, and all links carry about the same. VMs that hold the
// whole version already come before owners, those in the own domain first.
//
//     std::vector<PieceSource> sources = pieceSources(5, "10.0.0.1", "domain-a", members);

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ibislock::weights
{

/// A VM that takes part in spreading a version.
struct SpreadMember
{
    std::string vm;
    std::string domain;
    bool holds = false; ///< It has the whole version.
};

/// A place to ask for a piece.
struct PieceSource
{
    std::string vm; ///< Empty for the origin.
    bool waits = false; ///< It is on its way to get the piece itself, and is given time to.
    bool substitutes = false; ///< Takes the place of the source before it if that can't be reached, and is given time.
};

/// Lists the sources of a piece in the order in which they are asked; the origin is always the last.
/// @param piece the index of the piece.
/// @param self, domain who asks.
/// @param members all VMs that take part; `self` may be among them.
std::vector<PieceSource> pieceSources(int piece, std::string_view self, std::string_view domain,
                                      const std::vector<SpreadMember> &members);

/// A piece and where it is asked from.
struct PiecePlan
{
    int piece = 0;
    std::vector<PieceSource> sources;
};

/// Plans all pieces of a version: those that others wait for come first, or VMs would wait for each other in a circle.
/// First what this VM takes from the origin, then what it takes for its domain, then the rest.
std::vector<PiecePlan> planPieces(int pieces, std::string_view self, std::string_view domain,
                                  const std::vector<SpreadMember> &members);

/// The place of a VM in the order in which VMs load a version. Domains take turns, so that each keeps VMs that serve.
/// @return from 0 for the first up to below 1.
double turnOf(std::string_view self, std::string_view domain, const std::vector<SpreadMember> &members);

} // namespace ibislock::weights
