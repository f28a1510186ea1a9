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
    serving::AnnouncedVersions announced; ///< All announced versions, with the times of their announcements.
    Millis gracePeriod{0}; ///< From an announcement until no request starts on an older version.
    std::string origin; ///< IP:PORT; empty while unknown.
    Millis originPieceTime{0}; ///< How long the origin's link takes for a piece; zero if unknown.
};

} // namespace ibislock::side
