// What the daemons of a deployment cost. All run in the laboratory's own process, so that processor time and memory are
// upper bounds: they include the stand-ins.

#pragma once

#include "deployment.h"

namespace ibislock::lab
{

/// Totals at one point in time.
struct Usage
{
    Millis at{0};
    double cpuSeconds = 0;
    double residentMib = 0;
    std::uint64_t gossipBytes = 0;
    std::uint64_t entryGossipBytes = 0; ///< Of the entry VMs alone.
    std::size_t entries = 0;
    std::uint64_t logReads = 0;
};

/// What one daemon costs on average.
struct DaemonUsage
{
    double cpuPercent = 0; ///< Of one core.
    double residentMib = 0;
    double bytesPerSecond = 0; ///< Sent and received for membership and configuration.
    double entryBytesPerSecond = 0; ///< The same of an entry VM.
    double logReadsPerSecond = 0; ///< Of all daemons.
};

/// Reads the totals.
Usage usageNow(Deployment &deployment);

/// Works out what one daemon cost between two points in time.
DaemonUsage usageBetween(const Usage &begin, const Usage &end, unsigned daemons);

} // namespace ibislock::lab
