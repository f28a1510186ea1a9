// The desired version of the weights of a target VM's engine, and its origin.

#pragma once

#include "ibislock/serving/announced_versions.h"

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
