#include "ibislock/serving/memory_budget.h"

#include <algorithm>

namespace ibislock::serving
{

namespace
{

constexpr std::size_t Megabyte = 1U << 20U;

/// Memory of a process without callers: its code, the desired state, listings and connections to other processes.
constexpr std::size_t ProcessBytes = 20 * Megabyte;

/// The least that is granted, so that a setting below the process's own memory doesn't refuse everything.
constexpr std::size_t LeastBytes = 12 * Megabyte;

/// Of the rest of the VM's memory, this part is granted. The others cover what the allocator wastes, copies while a
/// message is written, and bytes that are still in the buffers of sockets.
constexpr double GrantedShare = 0.5;

/// Part of the granted memory that is reserved for small requests.
constexpr std::size_t ReservedDivisor = 4;

/// Part of the granted memory that the overhead of connections alone may take.
constexpr std::size_t OverheadDivisor = 2;

/// Descriptors that are kept for files, and the most of them relative to all.
constexpr std::size_t FileDescriptors = 200;
constexpr std::size_t FileDivisor = 8;

/// Descriptors of listeners, the event loop and operators' connections.
constexpr std::size_t OwnDescriptors = 40;

/// Of ten of the other descriptors, this many are for callers. Each request needs one for its target, a repeated one
/// two.
constexpr std::size_t CallerTenths = 6;

/// Part of the connections to targets that other VMs may open, and the least; each VM has one.
constexpr std::size_t PeerDivisor = 4;
constexpr std::size_t LeastPeers = 16;

/// Responses to other VMs may take this part of what is granted to callers beside it, and at least a few desired
/// states.
constexpr std::size_t PeerBytesDivisor = 8;
constexpr std::size_t LeastPeerBytes = 4 * Megabyte;

/// A request or response without progress for this long gives way first; a lost packet is sent again within 300 ms.
constexpr Millis StalledTime{500};

/// A connection that has sent nothing for this long may be closed for a new one; callers send when they connect.
constexpr Millis SilentTime{250};

/// Returns what a holder takes of the budget.
std::size_t weightOf(const MemoryHolder &holder)
{
    return holder.bytes + ConnectionBytes;
}

bool isStalled(const MemoryHolder &holder, HolderPhase phase, Millis now)
{
    return holder.phase == phase && now - holder.progressAt >= StalledTime;
}

/// Returns how much a holder has held for how long.
double occupation(const MemoryHolder &holder, Millis now)
{
    return static_cast<double>(weightOf(holder)) * static_cast<double>((now - holder.requestStartedAt).count() + 1);
}

/// Finds the holder with the greatest value of a function; holders without a value don't count.
template <typename ValueOf>
std::optional<HolderId> greatest(const MemoryBudget &budget, ValueOf valueOf)
{
    std::optional<HolderId> out;
    double most = 0;
    for (const auto &[id, holder] : budget.holders) {
        const std::optional<double> value = valueOf(id, holder);
        if (value && (!out || *value > most)) {
            out = id;
            most = *value;
        }
    }
    return out;
}

/// Finds the next holder to evict so that another one may hold more.
std::optional<HolderId> nextToEvict(const MemoryBudget &budget, HolderId asking, bool small, Millis now)
{
    const MemoryHolder &own = budget.holders.at(asking);
    for (const HolderPhase phase : {HolderPhase::Receiving, HolderPhase::Responding}) {
        const auto stalled = greatest(budget, [&](HolderId id, const MemoryHolder &holder) -> std::optional<double> {
            return id != asking && isStalled(holder, phase, now)
                ? std::optional(static_cast<double>((now - holder.progressAt).count()))
                : std::nullopt;
        });
        if (stalled) {
            return stalled;
        }
    }
    const bool anyOther = small || own.phase != HolderPhase::Receiving;
    const double least = anyOther ? 0 : occupation(own, now);
    return greatest(budget, [&](HolderId id, const MemoryHolder &holder) -> std::optional<double> {
        const double value = occupation(holder, now);
        return id != asking && holder.phase == HolderPhase::Receiving && value > least ? std::optional(value)
                                                                                       : std::nullopt;
    });
}

void evict(MemoryBudget &budget, HolderId id, GiveWayReason reason, std::vector<HolderId> &evicted)
{
    countGiveWay(budget, reason);
    closeHolder(budget, id);
    evicted.push_back(id);
}

/// Finds the next connection to close for a new one. Lower classes come first, in each the one with the oldest
/// progress.
std::optional<HolderId> nextToClose(const MemoryBudget &budget, Millis now)
{
    constexpr double Served = -1e12;
    constexpr double Closing = 1e12;
    return greatest(budget, [&](HolderId, const MemoryHolder &holder) -> std::optional<double> {
        const Millis silent = now - holder.progressAt;
        if (holder.phase == HolderPhase::Closing) {
            return Closing + static_cast<double>(silent.count());
        }
        const bool waits = holder.phase == HolderPhase::Idle || holder.phase == HolderPhase::Receiving;
        if (!waits || silent < SilentTime) {
            return std::nullopt;
        }
        return (holder.served ? Served : 0) + static_cast<double>(silent.count());
    });
}

} // namespace

MemoryLimits memoryLimits(double memoryMb, std::size_t descriptors)
{
    const auto memory = static_cast<std::size_t>(memoryMb * static_cast<double>(Megabyte));
    const std::size_t rest = memory > ProcessBytes ? memory - ProcessBytes : 0;
    const std::size_t bytes = std::max(LeastBytes, static_cast<std::size_t>(static_cast<double>(rest) * GrantedShare));
    const std::size_t kept = OwnDescriptors + std::min(FileDescriptors, descriptors / FileDivisor);
    const std::size_t sockets = descriptors > kept ? descriptors - kept : 0;
    const std::size_t targetConnections = std::max<std::size_t>(sockets * (10 - CallerTenths) / 10, 1);
    return {.bytes = bytes,
            .reservedBytes = bytes / ReservedDivisor,
            .connections = std::min(std::max<std::size_t>(sockets * CallerTenths / 10, 1),
                                    bytes / OverheadDivisor / ConnectionBytes),
            .targetConnections = targetConnections,
            .peerConnections = std::max(LeastPeers, targetConnections / PeerDivisor),
            .peerBytes = std::max(LeastPeerBytes, bytes / PeerBytesDivisor)};
}

void countGiveWay(MemoryBudget &budget, GiveWayReason reason)
{
    ++budget.gaveWay[static_cast<std::size_t>(reason)];
}

OpenResult openHolder(MemoryBudget &budget, Millis now)
{
    OpenResult out;
    while (budget.holders.size() >= budget.limits.connections || budget.used + ConnectionBytes > budget.limits.bytes) {
        const auto next = nextToClose(budget, now);
        if (!next) {
            return out;
        }
        evict(budget, *next, GiveWayReason::ConnectionSlot, out.evicted);
    }
    out.id = ++budget.lastId;
    budget.holders.emplace(*out.id, MemoryHolder{.progressAt = now});
    budget.used += ConnectionBytes;
    return out;
}

GrantResult setBytes(MemoryBudget &budget, HolderId id, std::size_t bytes, Millis now)
{
    GrantResult out;
    const auto it = budget.holders.find(id);
    if (it == budget.holders.end()) {
        return out;
    }
    MemoryHolder &holder = it->second;
    if (bytes > holder.bytes) {
        const std::size_t more = bytes - holder.bytes;
        const bool small = bytes <= SmallHolderBytes;
        const std::size_t limit = budget.limits.bytes - (small ? 0 : budget.limits.reservedBytes);
        if (bytes > limit) {
            return out; // Evicting others wouldn't make enough room.
        }
        while (budget.used + more > limit) {
            const auto next = nextToEvict(budget, id, small, now);
            if (!next) {
                return out;
            }
            const HolderPhase phase = budget.holders.at(*next).phase;
            const bool stalled = isStalled(budget.holders.at(*next), phase, now);
            evict(budget, *next,
                  phase == HolderPhase::Responding
                      ? GiveWayReason::UnreadResponse
                      : (stalled ? GiveWayReason::StalledRequest : GiveWayReason::SlowRequest),
                  out.evicted);
        }
    }
    budget.used = budget.used - holder.bytes + bytes;
    holder.bytes = bytes;
    out.granted = true;
    return out;
}

bool admitsBody(const MemoryBudget &budget, std::size_t bodyBytes, Millis now)
{
    if (bodyBytes <= SmallHolderBytes) {
        return true; // The reserve is for these.
    }
    std::size_t used = budget.used;
    for (const auto &[id, holder] : budget.holders) {
        const bool givesWay =
            isStalled(holder, HolderPhase::Receiving, now) || isStalled(holder, HolderPhase::Responding, now);
        used -= givesWay ? weightOf(holder) : 0;
    }
    return used + bodyBytes <= budget.limits.bytes - budget.limits.reservedBytes;
}

void setPhase(MemoryBudget &budget, HolderId id, HolderPhase phase, Millis now)
{
    const auto it = budget.holders.find(id);
    if (it == budget.holders.end() || it->second.phase == phase) {
        return;
    }
    it->second.phase = phase;
    it->second.progressAt = now;
    it->second.requestStartedAt = phase == HolderPhase::Receiving ? now : it->second.requestStartedAt;
    it->second.served = it->second.served || phase == HolderPhase::AtTarget;
}

void recordProgress(MemoryBudget &budget, HolderId id, Millis now)
{
    const auto it = budget.holders.find(id);
    if (it != budget.holders.end()) {
        it->second.progressAt = now;
    }
}

void closeHolder(MemoryBudget &budget, HolderId id)
{
    const auto it = budget.holders.find(id);
    if (it != budget.holders.end()) {
        budget.used -= weightOf(it->second);
        budget.holders.erase(it);
    }
}

bool isBodyTooSlow(std::size_t received, Millis sinceStart, Millis sinceProgress, Millis patience)
{
    if (sinceProgress > patience) {
        return true;
    }
    const std::int64_t counted = (sinceStart - patience).count();
    return counted > 0 && static_cast<std::int64_t>(received) * 1000 < counted * static_cast<std::int64_t>(MinBodyRate);
}

} // namespace ibislock::serving
