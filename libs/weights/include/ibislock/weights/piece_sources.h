// Which VM a piece of a new version is asked from. Each piece has one owner in the deployment, which takes it from the
// origin, and one in each domain, which takes it from that owner; all others take it from their domain's owner. So the
// origin sends one copy, each domain gets one copy from outside, and all links carry about the same. VMs that hold the
// whole version already come before owners, those in the own domain first.
//
//     std::vector<PieceSource> sources = pieceSources(5, "10.0.0.1", "domain-a", members);

#pragma once

#include "ibislock/base/clock.h"

#include <string>
#include <string_view>
#include <vector>

namespace ibislock::weights
{

/// A VM that takes part in spreading a version.
struct DistributionMember
{
    std::string vm;
    std::string domain;
    bool hasVersion = false; ///< It has the whole version.
};

/// A place to ask for a piece.
struct PieceSource
{
    std::string vm; ///< Empty for the origin.
    bool isFetching = false; ///< It is on its way to get the piece itself, and is given time to.
    bool isSubstitute = false; ///< Takes the place of the source before it if that can't be reached, and is given time.
};

/// Lists the sources of a piece in the order in which they are asked; the origin is always the last.
/// @param piece the index of the piece.
/// @param self, domain who asks.
/// @param members all VMs that take part; `self` may be among them.
std::vector<PieceSource> pieceSources(int piece, std::string_view self, std::string_view domain,
                                      const std::vector<DistributionMember> &members);

/// What a VM does for a piece.
enum class PieceRole {
    Owner, ///< Takes it from the origin for all.
    DomainOwner, ///< Takes it from its owner for its domain.
    Member, ///< Takes it from its domain's owner, or from one that holds it.
};

/// A piece and where it is asked from.
struct PiecePlan
{
    int piece = 0;
    PieceRole role = PieceRole::Member;
    std::vector<PieceSource> sources;
};

/// When the owner of a piece asks the origin for it. Answers a rollout to hundreds of VMs: if all owners asked at once,
/// their connections would be over the origin's limit, and all pieces would arrive at the end; one after another, the
/// first can be passed on while the others come.
/// @param place of the piece among all.
/// @param pieceTime how long the origin's link takes for one.
/// @return the time from the beginning on.
Millis originFetchDelay(int place, Millis pieceTime);

/// What a VM does about a piece that none of its sources has given.
enum class OriginDecision {
    FetchFromOrigin, ///< It asks the origin.
    RetrySources, ///< It gives its sources more time.
};

/// Decides that. Answers owners that are late, because they learnt late of the version or the origin's link is slow: if
/// all members turned to the origin then, it would send the same pieces again and again, and all would come too late.
/// @param answered whether any of the sources said that it does not hold the piece yet; false if all were lost.
/// @param rounds how often the sources have been asked.
OriginDecision decideOriginFetch(PieceRole role, bool answered, int rounds);

/// Plans all pieces of a version: those that others wait for come first, or VMs would wait for each other in a circle.
/// First what this VM takes from the origin, then what it takes for its domain, then the rest.
std::vector<PiecePlan> planPieces(int pieces, std::string_view self, std::string_view domain,
                                  const std::vector<DistributionMember> &members);

/// The place of a VM in the order in which VMs load a version. Domains take turns, so that each keeps VMs that serve.
/// @return from 0 for the first up to below 1.
double rolloutPosition(std::string_view self, std::string_view domain, const std::vector<DistributionMember> &members);

} // namespace ibislock::weights
