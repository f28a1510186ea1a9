// When listings of targets are requested and read. All times derive from the age of the listings, so that an entry VM
// that reaches the store learns of a draining target in time, whatever its relays do. No I/O.
//
//     const Millis wait = relayHoldTime(follower.age(), drainTime);    // of the next request to a relay
//     const Millis delay = timeUntilOwnRead(follower.age(), drainTime); // to a read of the store beside the relay

#pragma once

#include "ibislock/base/clock.h"

namespace ibislock::feed
{

// All fractions are of the drain time, the time within which requests to a draining target must stop. An entry VM uses
// no listings that are older than `OwnReadFraction` + the time of a call to the store, and one whose first read is lost
// none that are older than `OwnReadFraction` + `OwnReadIntervalFraction` + that time. The rest is left for a request to
// reach its target.

/// Interval between the starts of two reads of the store by a VM that follows the topic.
inline constexpr double StoreReadIntervalFraction = 0.1;

/// How long the store may hold a read until there is a record, and the greatest age of the listings of a VM that
/// follows the topic, but for a call.
inline constexpr double StoreLongPollFraction = 0.3;

/// The same for a VM for which the age of its listings doesn't matter: it serves no others and has no listings to use,
/// or is no entry VM.
inline constexpr double PassiveLongPollFraction = 0.9;

/// Pause between a response of a relay and the next request, and the shortest one if the listings are old.
inline constexpr double RequestPauseFraction = 0.1;
inline constexpr double MinRequestPauseFraction = 0.05;

/// How long a relay may hold a request until something changes.
inline constexpr double RelayHoldFraction = 0.2;

/// The age until which a relay may hold a request; older listings are requested at once.
inline constexpr double RelayHoldAgeFraction = 0.35;

/// How much longer a response of a relay may take to arrive.
inline constexpr double ResponseMarginFraction = 0.2;

/// The age at which an entry VM reads the store itself, beside its relay.
inline constexpr double OwnReadFraction = 0.5;

/// The greatest age of a relay's data that is accepted; a relay with older data is replaced. Beyond `OwnReadFraction`,
/// as a response may have waited for a stalled event loop.
inline constexpr double MaxAgeFraction = 0.6;

/// The part of `OwnReadFraction` over which such reads are spread, so that the VMs of a relay that fails don't all read
/// at one moment.
inline constexpr double OwnReadSpreadFraction = 0.05;

/// Interval between the starts of two such reads. A slow one goes on beside the next, as packets may wait at a full
/// link for half a second.
inline constexpr double OwnReadIntervalFraction = 0.2;

/// How long such a read may take.
inline constexpr double OwnReadTimeoutFraction = 0.4;

/// Interval of such reads once the listings are older than the drain time: the store can't be reached. These reads show
/// soon that it responds again; the calls of a feed wait longer.
inline constexpr double OutageReadIntervalFraction = 0.25;

/// The age, in drain times, from which on the interval is longer, as the store may be away for minutes.
inline constexpr double LongOutageFraction = 5.0;
inline constexpr double LongOutageReadIntervalFraction = 1.0;

/// Returns a fraction of the drain time.
Millis fractionOf(Millis drainTime, double fraction);

/// Returns the pause after a response of a relay.
/// @param age the age of the listings when the response has been applied.
Millis requestPause(Millis age, Millis drainTime);

/// Returns how long a relay may hold the next request.
/// @param age the age of the listings when the request is sent.
Millis relayHoldTime(Millis age, Millis drainTime);

/// Returns the time until an entry VM reads the store itself unless its listings are confirmed before.
/// @param age the age of the listings.
/// @param spread a random number from 0 to 1 that brings the read forward.
/// @return the delay; 0 if the read is due.
Millis timeUntilOwnRead(Millis age, Millis drainTime, double spread);

/// Returns the time between the starts of two such reads.
/// @param age the age of the listings.
Millis ownReadInterval(Millis age, Millis drainTime);

} // namespace ibislock::feed
