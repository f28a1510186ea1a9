// What other VMs may take up at the ports of a target VM's daemon.

#pragma once

#include "ibislock/feed/long_poll_server.h"
#include "ibislock/platform/settings.h"
#include "piece_exchange.h"

namespace ibislock::side
{

/// The limits of each port.
struct PortLimits
{
    PieceServerLimits pieces;
    feed::LongPollLimits listings;
};

/// Derives the limits from the memory and the descriptors of the VM.
PortLimits portLimits(const platform::DaemonSettings &settings);

} // namespace ibislock::side
