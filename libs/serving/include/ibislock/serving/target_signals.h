// Signals in a target's responses: that it is draining, or that it asks for a backoff. A draining target signals this
// before its listing does, and an overloaded one would only refuse more requests. Signals hold for one incarnation of
// the target; a listing that was read earlier does not reset them.
//
//     recordDraining(signals);
//     recordBackoff(signals, Millis{2000}, now);
//     if (!acceptsRequests(signals, now)) { ... }

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>

namespace ibislock::serving
{

/// Maximum backoff that is granted to a target; one that asks for more is sent requests again after this time.
inline constexpr Millis MaxBackoff{std::chrono::hours{1}};

/// Signals that a target has sent in one incarnation.
struct TargetSignals
{
    std::int64_t startedAt = 0; ///< Start of the incarnation in Unix milliseconds, as listed.
    bool draining = false;
    Millis backoffUntil{0}; ///< This VM sends it no request before this time.
};

/// Records that the target is draining.
void recordDraining(TargetSignals &signals);

/// Records that the target asked for a backoff. A shorter one does not end a longer one that it asked for before.
/// @param backoff counted from `now`, at most `MaxBackoff`.
void recordBackoff(TargetSignals &signals, Millis backoff, Millis now);

/// Returns whether the target may be sent a request.
bool acceptsRequests(const TargetSignals &signals, Millis now);

} // namespace ibislock::serving
