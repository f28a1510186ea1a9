// Bounds from below when a datagram of another VM was sent, by this VM's own clock and however long the datagram was
// under way: each datagram carries a stamp of its sender, and returns the last one that the sender got from the
// receiver, with the time that it held it. Clocks of VMs aren't compared. No I/O.
//
//     SendTimeClock clock = makeSendTimeClock(random(), now);       // one for a process
//     SendTimePeer peer;                                            // one for each VM that datagrams come from
//     message.stamps = stampsFor(clock, peer, now);
//     std::optional<Millis> sentAfter = recordStamps(clock, peer, received.stamps, now);

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/peer/send_stamps.h"

#include <optional>

namespace ibislock::feed
{

/// The clock of a process, from which its stamps are taken.
struct SendTimeClock
{
    std::uint64_t first =
        0; ///< The stamp at `startedAt`, random so that stamps of other processes aren't taken for own.
    Millis startedAt{0};
};

/// What is known of another VM that sends datagrams.
struct SendTimePeer
{
    std::uint64_t stamp = 0; ///< The stamp of its last datagram; 0 for none.
    Millis receivedAt{0};
};

/// Returns the clock of a process that starts at `now`.
/// @param random a random number.
SendTimeClock makeSendTimeClock(std::uint64_t random, Millis now);

/// Returns the stamps of a datagram that is sent to a VM at `now`.
peer::SendStamps stampsFor(const SendTimeClock &clock, const SendTimePeer &peer, Millis now);

/// Records the stamps of a datagram that was received from a VM at `now`.
/// @return a time at or before which the datagram was not yet sent; nothing if it returns no stamp of this process.
std::optional<Millis> recordStamps(const SendTimeClock &clock, SendTimePeer &peer, const peer::SendStamps &stamps,
                                   Millis now);

} // namespace ibislock::feed
