// When the staged pieces of a version were checked, and whether the checks are recent enough to order a load. Staged
// pieces may become corrupt at any time, so a check says nothing about the piece some seconds later.
//
//     recordMatch(checks, piece, requestedAt);
//     if (mayOrderLoad(checks, pieces, now)) { ... }            // send the order before orderDeadline(checks)
//     if (!isLoadProven(checks, pieces, acceptedBy)) { ... }    // check the pieces again before the engine serves

#pragma once

#include "ibislock/base/clock.h"

#include <map>
#include <optional>

namespace ibislock::weights
{

/// How long a piece may have been corrupt when an engine accepts a load; the contract excuses no longer time.
inline constexpr Millis CorruptionTolerance{3000};

/// Longest age of a check when the load is ordered; the rest of the tolerance is for the engine to accept the order.
inline constexpr Millis MaxCheckAgeAtOrder{1500};

/// Longest age of a check when the response to the order arrives. The clock of the engine may run a little faster.
inline constexpr Millis MaxCheckAgeAtResponse{2800};

/// Limit of concurrent reads of staged pieces; bounds memory.
inline constexpr int MaxStageReads = 32;

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

/// Returns whether a load may be ordered: all pieces were checked, none of them too long ago.
/// @param pieces the number of pieces of the version.
bool mayOrderLoad(const StageChecks &checks, std::size_t pieces, Millis now);

/// Returns the time after which the order must not be sent.
Millis orderDeadline(const StageChecks &checks);

/// Returns whether an accepted load can't have taken a piece that had been corrupt for longer than the tolerance.
/// @param pieces the number of pieces of the version.
/// @param acceptedBy when the response to the order arrived.
bool isLoadProven(const StageChecks &checks, std::size_t pieces, Millis acceptedBy);

/// Returns how many pieces to read at once so that all of them are checked within a third of `MaxCheckAgeAtOrder`.
/// @param readTime how long a read takes.
/// @return at least 1.
int stageReadsAtOnce(std::size_t pieces, Millis readTime);

} // namespace ibislock::weights
