// What a target VM's engine is to hold, and where its weights come from.

#pragma once

#include "ibislock/serving/announced_versions.h"

#include <string>

namespace ibislock::side
{

/// What is to be reached, and where it can be found.
struct WeightsGoal
{
    std::string model;
    std::int64_t version = 0;
    serving::AnnouncedVersions named; ///< All that have been named, with their times.
    Millis versionTime{0}; ///< From a naming until requests stop to begin on older versions.
    std::string origin; ///< IP:PORT; empty while unknown.
    Millis originPieceTime{0}; ///< How long the origin's link takes for a piece; zero if unknown.
};

} // namespace ibislock::side
