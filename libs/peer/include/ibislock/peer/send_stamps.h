// Stamps by which the receiver of a datagram can tell since when it may have been under way. No I/O.

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>

namespace ibislock::peer
{

/// The stamps of a datagram.
struct SendStamps
{
    std::uint64_t sent = 0; ///< Of the sender's clock, which only the sender can read; 0 from VMs of earlier releases.
    std::uint64_t returned = 0; ///< The last stamp that the sender received from the receiver; 0 for none.
    Millis heldFor{0}; ///< How long ago the sender received it.
};

} // namespace ibislock::peer
