// What a target says of itself in its answers: that it is leaving, or that it wants no request for some time. Answers
// two loads: a target that goes away before its listing says so, and one that is overrun and would only turn more
// requests away. What was said holds for one life of the target; a listing that was read earlier does not take it back.
//
//     noteLeaving(notice);
//     notePause(notice, Millis{2000}, now);
//     if (!admits(notice, now)) { ... }

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>

namespace ibislock::serving
{

/// The longest pause that a target is granted; one that asks for more is given a request after this time.
inline constexpr Millis MaxBackoff{std::chrono::hours{1}};

/// What a target has said of itself in one life.
struct TargetSignals
{
    std::int64_t startedAt = 0; ///< The life, as listed: Unix milliseconds of its start.
    bool draining = false;
    Millis backoffUntil{0}; ///< Wants no request of this VM before.
};

/// Notes that the target is leaving.
void recordDraining(TargetSignals &notice);

/// Notes that the target asked for a pause. A shorter one does not end a longer one that it asked for before.
/// @param pause from now on, at most `LongestPause`.
void recordBackoff(TargetSignals &notice, Millis pause, Millis now);

/// Tells whether the target may be sent a request.
bool acceptsRequests(const TargetSignals &notice, Millis now);

} // namespace ibislock::serving
