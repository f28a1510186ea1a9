// Signals in a target's responses: that it is draining, that it asks for a backoff, or how many requests a second it
// takes. A draining target signals this before its listing does, and an overloaded one would only refuse more requests.
// Signals hold for one incarnation of the target; a listing that was read earlier does not reset them.
//
//     recordDraining(signals);
//     recordBackoff(signals, Millis{2000}, now);
//     if (!acceptsRequests(signals, now)) { ... }

#pragma once

#include "ibislock/serving/request_limit.h"

#include <cstdint>
#include <optional>

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
    std::optional<RequestLimit> limit; ///< This VM's share of the requests that the target takes; none without a limit.
};

/// What a response says of a target's limit.
struct LimitSignal
{
    std::optional<double> perSecond; ///< Requests a second from all entry VMs together; none if it names no limit.
    Millis sentAt{0}; ///< When the request of the response was sent.
    int entryVms = 1; ///< Number of entry VMs that share the limit.
};

/// How a response changed what is known of a target's limit.
enum class LimitChange { None, Named, Changed, Ended };

/// Records that the target is draining.
void recordDraining(TargetSignals &signals);

/// Records that the target asked for a backoff. A shorter one does not end a longer one that it asked for before.
/// @param backoff counted from `now`, at most `MaxBackoff`.
void recordBackoff(TargetSignals &signals, Millis backoff, Millis now);

/// Records what a response says of the target's limit. A response without one ends the limit, unless its request was
/// sent before this VM learned of it: such a response may be older.
LimitChange recordLimit(TargetSignals &signals, const LimitSignal &signal, Random &random, Millis now);

/// Returns whether the target may be sent a request.
bool acceptsRequests(const TargetSignals &signals, Millis now);

/// Returns when this VM may send a request to a target that isn't draining; `now` if it may do so at once.
Millis acceptsRequestsFrom(const TargetSignals &signals, Millis now);

/// Returns how long a caller should wait that finds no other target. With a limit, that is the time until some entry VM
/// has a turn, and not until this one has.
Millis suggestedPause(const TargetSignals &signals, Millis now);

} // namespace ibislock::serving
