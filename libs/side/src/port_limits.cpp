#include "port_limits.h"

#include "ibislock/net/process_limits.h"
#include "ibislock/serving/memory_budget.h"

#include <algorithm>

namespace ibislock::side
{

namespace
{

/// The ports for pieces and for listings, which share what is granted to connections.
constexpr std::size_t Ports = 2;

/// Part of a port's memory that unread responses may take. The rest is for requests and for what is read of them.
constexpr std::size_t QueuedDivisor = 2;

/// Part of a port's memory that pending requests may take.
constexpr std::size_t PendingDivisor = 4;

} // namespace

PortLimits portLimits(const platform::DaemonSettings &settings)
{
    const serving::MemoryLimits vm = serving::memoryLimits(net::availableMemoryMb(settings.memoryMb),
                                                           net::availableDescriptors(settings.maxDescriptors));
    const std::size_t bytes = vm.bytes / Ports;
    const PieceServerLimits most;
    PortLimits out;
    out.pieces = {.connections = std::clamp<std::size_t>(vm.connections / Ports, 1, most.connections),
                  .pendingBytes = std::min(bytes / PendingDivisor, most.pendingBytes),
                  .queuedBytes = std::min(bytes / QueuedDivisor, most.queuedBytes)};
    out.listings = {.connections = out.pieces.connections, .unsentBytes = out.pieces.queuedBytes};
    return out;
}

} // namespace ibislock::side
