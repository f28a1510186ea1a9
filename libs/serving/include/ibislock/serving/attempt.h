// One attempt of a request: what was sent to which incarnation of a target, for which version of the weights, and
// whether the target has begun to respond. A request may have several attempts, and a target may be listed under the
// same id in another incarnation, or not at all, while an attempt still waits there. Decisions about an attempt are
// therefore based on its own data.
//
//     Attempt attempt = startAttempt(target, /*engine=*/true, now);
//     if (mayStartOnRetiredWeights(attempt, table, requiredVersion, now)) { ... }
//     endAttempt(table, attempt, /*success=*/true, now);

#pragma once

#include "ibislock/base/names.h"
#include "ibislock/serving/placement_domains.h"

namespace ibislock::serving
{

/// An attempt of a request at a target.
struct Attempt
{
    std::string targetId;
    std::string targetAddress;
    std::int64_t targetStartedAt = 0; ///< Incarnation of the target, as in `TargetEntry`.
    std::int64_t weightsVersion = 0; ///< Version that the target was known to hold; 0 for one without weights.
    Millis sentAt{0};
    bool responseStarted = false; ///< Part of the body of this attempt's response was received.
};

/// Returns the attempt that is sent to a target now.
/// @param engine whether the target serves with weights.
Attempt startAttempt(const Target &target, bool engine, Millis now);

/// Returns the target of an attempt if the incarnation that the attempt was sent to is listed; null otherwise.
Target *targetOf(TargetTable &table, const Attempt &attempt);
const Target *targetOf(const TargetTable &table, const Attempt &attempt);

/// Why a request may not be sent to the target that was chosen for it any more.
enum class SendObstacle {
    None,
    Unlisted, ///< The incarnation isn't listed any more, so its address may be reused.
    Residency, ///< It isn't in a region that is allowed.
    Evacuated, ///< Its domain is being evacuated.
    Draining, ///< Its listing or a response says that it is draining.
};

/// Names of the obstacles in logs.
inline constexpr NameTable<SendObstacle, 5> SendObstacleNames{{
    {SendObstacle::None, "none"},
    {SendObstacle::Unlisted, "unlisted"},
    {SendObstacle::Residency, "residency"},
    {SendObstacle::Evacuated, "evacuated"},
    {SendObstacle::Draining, "draining"},
}};

/// Returns whether, and why, the request of an attempt may not be sent to its target any more. To be asked when its
/// connection is established, as listings and restrictions may have changed since the target was chosen.
/// @param domains the present restrictions of the request.
SendObstacle obstacleOf(const TargetTable &table, const Attempt &attempt, const PlacementDomains &domains);

/// Records the end of an attempt: it is in flight no more, and its outcome counts for the incarnation that it was sent
/// to, if that is listed or retained.
void endAttempt(TargetTable &table, const Attempt &attempt, bool success, Millis now);

/// Records that an attempt is in flight no more and shows nothing of its target, as another attempt was preferred.
void withdrawAttempt(TargetTable &table, const Attempt &attempt);

/// Records that the target of an attempt has sent something. Ends an ejection for its silence.
void recordSignOfLife(TargetTable &table, const Attempt &attempt, Millis now);

/// A connection that fails within this time was refused or closed; one to a target that doesn't respond is given up
/// after 400 ms.
inline constexpr Millis RefusalTime{300};

/// Records that an attempt could not connect to its target, or lost its connection.
/// @param connected whether there was a connection.
void recordConnectionLoss(TargetTable &table, const Attempt &attempt, bool connected, Millis now);

/// Records that the target of an attempt has been silent for so long that its request is sent to another one as well.
/// It counts as a failure until the target sends something.
void recordSilence(TargetTable &table, const Attempt &attempt, Millis now);

/// Returns whether an attempt that waits at its target may start there on retired weights. Without evidence that the
/// same incarnation has loaded newer weights, it is assumed to hold those for which the attempt was sent.
/// @param required the oldest version that isn't retired; 0 for any.
bool mayStartOnRetiredWeights(const Attempt &attempt, const TargetTable &table, std::int64_t required, Millis now);

} // namespace ibislock::serving
