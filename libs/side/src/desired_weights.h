// The desired version of the weights of a target VM's engine, its origin, and the VMs that distribute it.

#pragma once

#include "ibislock/serving/announced_versions.h"
#include "ibislock/weights/piece_sources.h"

#include <functional>
#include <string>

namespace ibislock::side
{

/// The desired version of the weights, and where to fetch it.
struct DesiredWeights
{
    std::string model;
    std::int64_t version = 0;
    int pieces = 0; ///< Number of pieces of each version; 0 if unknown.
    std::size_t pieceBytes = 0; ///< Size of the largest piece; 0 if unknown.
    serving::AnnouncedVersions announced; ///< All announced versions, with the times of their announcements.
    Millis gracePeriod{0}; ///< From an announcement until no request starts on an older version.
    std::string origin; ///< IP:PORT; empty while unknown.
    Millis originPieceTime{0}; ///< How long the origin's link takes for a piece; zero if unknown.
};

/// Returns the currently known VMs that take part in the distribution of a version.
using DistributionMembers = std::function<std::vector<weights::DistributionMember>(std::int64_t version)>;

/// How long after its announcement a version counts as new: no VM holds a piece of it that others don't know of.
inline constexpr Millis FreshTime{1500};

/// Returns whether a version was announced just now.
inline bool isFresh(const DesiredWeights &desired, Millis now)
{
    for (const serving::AnnouncedVersion &announced : desired.announced) {
        if (announced.version == desired.version) {
            return now < announced.learntAt + FreshTime;
        }
    }
    return false;
}

/// Size of a piece while that of the desired state is unknown.
inline constexpr std::size_t UnknownPieceBytes = 1U << 20U;

/// How much longer than a piece a response may be: one that is a little too long is still read and compared.
inline constexpr std::size_t PieceMarginBytes = 64U << 10U;

/// Returns the limit of the body of a response that should hold a piece.
/// @param pieceBytes size of the largest piece; 0 if unknown.
inline std::size_t maxPieceResponse(std::size_t pieceBytes)
{
    return (pieceBytes > 0 ? pieceBytes : UnknownPieceBytes) + PieceMarginBytes;
}

} // namespace ibislock::side
