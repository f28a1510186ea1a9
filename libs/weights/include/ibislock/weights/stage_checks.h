// When the staged pieces of a version were checked, and whether the checks are recent enough to order a load. Staged
// pieces may become corrupt at any time, so a check says nothing about the piece some seconds later.
//
//     recordMatch(checks, piece, requestedAt);
//     const std::optional<Millis> oldest = oldestCheck(checks);

#pragma once

#include "ibislock/base/clock.h"

#include <map>
#include <optional>

namespace ibislock::weights
{

/// The checks of the staged pieces of one version. All times are of the boot clock, which continues while the VM is
/// suspended.
struct StageChecks
{
    std::map<int, Millis> checkedAt; ///< By piece that matched its digest: when its bytes were requested.
};

/// Records that a piece matched its digest.
/// @param requestedAt when the bytes were requested; the piece may have become corrupt right after it.
void recordMatch(StageChecks &checks, int piece, Millis requestedAt);

/// Records that a piece is missing, corrupt, or was overwritten.
void discardCheck(StageChecks &checks, int piece);

/// Returns the time of the oldest check; nothing if no piece was checked.
std::optional<Millis> oldestCheck(const StageChecks &checks);

} // namespace ibislock::weights
