// The memory and descriptors that callers' connections of one entry VM may hold together, and which of them give way
// when there is no room. Without a limit of the sum, many requests within their own limits use up the VM's memory: many
// large bodies that never end, or many large responses that are never read.
//
//     MemoryBudget budget{.limits = memoryLimits(112, 2870)};
//     const OpenResult opened = openHolder(budget, now);             // close all of opened.evicted
//     const GrantResult grant = setBytes(budget, *opened.id, 70000, now);
//     if (!grant.granted) { ... }                                    // refuse the request; it holds what it held
//     before closeHolder(budget, *opened.id);

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/names.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ibislock::serving
{

/// What the connection of a caller is doing.
enum class HolderPhase {
    Idle, ///< No request has begun.
    Receiving, ///< A request is being read; nothing of it has been sent to a target.
    AtTarget, ///< A request has been read and may have been sent to a target. Never evicted.
    Responding, ///< The complete response waits to be read by the caller.
    Closing, ///< It is refused and stays open only until the caller has read that.
};

/// Why something gave way, as counted.
enum class GiveWayReason {
    StalledRequest, ///< An unfinished request without progress was evicted.
    SlowRequest, ///< An unfinished request with progress was evicted: the one that held most for longest.
    UnreadResponse, ///< A response that its caller doesn't read was evicted.
    ConnectionSlot, ///< A connection was closed to make room for a new one.
    RefusedBody, ///< A request was refused, as there was no room for its body.
    PausedResponse, ///< A target's response wasn't read on for a while, as there was no room for it.
    PausedAccept, ///< New connections waited, as none could be closed.
};

/// Number of reasons.
inline constexpr std::size_t GiveWayReasonCount = 7;

/// Names of the reasons in metrics.
inline constexpr NameTable<GiveWayReason, GiveWayReasonCount> GiveWayReasonNames{{
    {GiveWayReason::StalledRequest, "stalled_request"},
    {GiveWayReason::SlowRequest, "slow_request"},
    {GiveWayReason::UnreadResponse, "unread_response"},
    {GiveWayReason::ConnectionSlot, "connection_slot"},
    {GiveWayReason::RefusedBody, "refused_body"},
    {GiveWayReason::PausedResponse, "paused_response"},
    {GiveWayReason::PausedAccept, "paused_accept"},
}};

/// Identifies a connection in the budget.
using HolderId = std::uint64_t;

/// What a connection holds.
struct MemoryHolder
{
    HolderPhase phase = HolderPhase::Idle;
    std::size_t bytes = 0; ///< Without the fixed overhead.
    Millis requestStartedAt{0}; ///< Of the request that is being read.
    Millis progressAt{0}; ///< When its caller last sent or read something.
    bool served = false; ///< A request of it was read completely before.
};

/// Fixed overhead of a connection: its objects, and what the kernel keeps for its socket.
inline constexpr std::size_t ConnectionBytes = 8 * 1024;

/// A holder of at most this much is small: a head of the largest size and a body of some KB.
inline constexpr std::size_t SmallHolderBytes = 32 * 1024;

/// What all connections may hold together.
struct MemoryLimits
{
    std::size_t bytes = 0; ///< Includes the overhead of each connection.
    std::size_t reservedBytes = 0; ///< Part of `bytes` that only small holders may use.
    std::size_t connections = 0; ///< Of callers.
    std::size_t targetConnections = 0; ///< To targets and the store, and to and from other VMs.
    std::size_t peerConnections = 0; ///< Part of `targetConnections` that other VMs may open.
    std::size_t peerBytes = 0; ///< Bytes of responses to other VMs that may be unsent; not a part of `bytes`.
};

/// Derives the limits from those of the VM.
/// @param memoryMb memory of the VM in MB.
/// @param descriptors descriptors that the process may have open.
MemoryLimits memoryLimits(double memoryMb, std::size_t descriptors);

/// All connections and what they hold. `used` never exceeds `limits.bytes`, and is 0 without connections.
struct MemoryBudget
{
    MemoryLimits limits;
    std::map<HolderId, MemoryHolder> holders;
    std::size_t used = 0;
    HolderId lastId = 0;
    std::array<std::uint64_t, GiveWayReasonCount> gaveWay{};
};

/// Counts that something gave way.
void countGiveWay(MemoryBudget &budget, GiveWayReason reason);

/// Whether a connection may be opened.
struct OpenResult
{
    std::optional<HolderId> id; ///< Nothing if there is no room.
    std::vector<HolderId> evicted; ///< Connections to close at once; they are no holders any more.
};

/// Makes room for a new connection and adds it. Closes others if necessary: first those that are closing, then idle
/// and unfinished ones without progress, those that never sent a whole request before the others.
OpenResult openHolder(MemoryBudget &budget, Millis now);

/// Whether a connection may hold more.
struct GrantResult
{
    bool granted = false;
    std::vector<HolderId> evicted; ///< Connections to close at once; they are no holders any more.
};

/// Sets how much a connection holds; less is always granted. If there is no room, others are evicted: unfinished
/// requests without progress, then responses that aren't read, then unfinished requests by their size and age. A large
/// unfinished request evicts others of the last kind only if they held more for longer.
/// @return whether it is granted; if not, nothing but what was evicted has changed.
GrantResult setBytes(MemoryBudget &budget, HolderId id, std::size_t bytes, Millis now);

/// Returns whether a request with a body of a known length may be read, which is decided before any of it is read.
bool admitsBody(const MemoryBudget &budget, std::size_t bodyBytes, Millis now);

/// Records what a connection does now; its request starts when it begins to receive.
void setPhase(MemoryBudget &budget, HolderId id, HolderPhase phase, Millis now);

/// Records that a caller has sent or read something.
void recordProgress(MemoryBudget &budget, HolderId id, Millis now);

/// Removes a connection; does nothing if it was evicted.
void closeHolder(MemoryBudget &budget, HolderId id);

/// Minimum average rate of a body in bytes per second; the slowest ordinary links carry several times this.
inline constexpr std::size_t MinBodyRate = 2048;

/// Returns whether the body of a request comes too slowly to be waited for. Bodies within the minimum rate are slow
/// only if nothing comes for a while.
/// @param received body bytes that have been read.
/// @param sinceStart time since the request started.
/// @param sinceProgress time since the last bytes.
/// @param patience time for a head; as much is granted without any progress, and before the rate counts.
bool isBodyTooSlow(std::size_t received, Millis sinceStart, Millis sinceProgress, Millis patience);

} // namespace ibislock::serving
