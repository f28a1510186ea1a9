#include "ibislock/weights/planner.h"
#include "ibislock/weights/rendezvous.h"

#include <algorithm>

namespace ibislock::weights
{

namespace
{

constexpr Millis OriginPause{250};
constexpr Millis BusyPauseMin{5};
constexpr unsigned CorruptPenalty = 4;
constexpr unsigned BitsPerByte = 8;

bool bitOf(std::string_view bitmap, std::size_t index)
{
    const std::size_t at = index / BitsPerByte;
    return at < bitmap.size() && ((static_cast<unsigned char>(bitmap[at]) >> (index % BitsPerByte)) & 1U) != 0;
}

bool isNear(const Transfer &transfer, const Source &source)
{
    return !transfer.options.domainsAreRegions || source.domain == transfer.options.domain;
}

void removeHolding(Transfer &transfer, Source &source, std::size_t chunk)
{
    if (!source.holds[chunk]) {
        return;
    }
    source.holds[chunk] = false;
    --transfer.holders[chunk];
    if (isNear(transfer, source)) {
        --transfer.localHolders[chunk];
    }
}

void removeAllHoldings(Transfer &transfer, Source &source)
{
    source.hasReported = false;
    for (std::size_t i = 0; i < transfer.chunks.size(); ++i) {
        removeHolding(transfer, source, i);
    }
}

/// Returns whether a source has failed so often that its reported holdings don't count during its backoff.
bool isDistrusted(const Transfer &transfer, const Source &source)
{
    return source.backoff > transfer.options.takeoverTimeout;
}

/// Records progress of the VM to which a chunk is assigned; called when the chunk is first reported.
void recordProgress(Transfer &transfer, const ChunkAssignment &order, std::size_t chunk, Millis now)
{
    if (chunk < order.primary.size()) {
        transfer.lastProgressAt[order.vms[order.primary[chunk]]] = now;
    }
}

void addHolding(Transfer &transfer, Source &source, std::size_t chunk, Millis now)
{
    source.holds[chunk] = true;
    if (transfer.holders[chunk]++ == 0 && !transfer.held[chunk]) {
        recordProgress(transfer, transfer.originAssignment, chunk, now);
    }
    if (isNear(transfer, source)) {
        if (transfer.localHolders[chunk]++ == 0 && !transfer.held[chunk]) {
            recordProgress(transfer, transfer.importAssignment, chunk, now);
        }
    } else {
        transfer.regionProgressAt[source.domain] = now;
        if (transfer.remoteSeenAt[chunk] == Millis(0)) {
            transfer.remoteSeenAt[chunk] = now;
        }
    }
}

/// Assigns the chunks that enter the own region to its VMs. The chunks of each link are spread evenly over the VMs, so
/// that all VMs finish with a link at the same time.
/// @param parts the number of links; link n carries each chunk whose index modulo this number is n.
ChunkAssignment importOrder(const std::vector<Digest> &chunks, const std::vector<std::string> &vms, std::size_t parts)
{
    ChunkAssignment order{.vms = vms, .primary = std::vector<std::uint32_t>(vms.empty() ? 0 : chunks.size())};
    for (std::size_t part = 0; part < parts && !vms.empty(); ++part) {
        std::vector<Digest> ofPart;
        for (std::size_t i = part; i < chunks.size(); i += parts) {
            ofPart.push_back(chunks[i]);
        }
        const ChunkAssignment shared = assignChunks(ofPart, vms);
        for (std::size_t i = 0; i < ofPart.size(); ++i) {
            order.primary[part + i * parts] = shared.primary[i];
        }
    }
    return order;
}

/// Returns the regions without the store.
std::vector<std::string> findRemoteRegions(const Transfer &transfer)
{
    std::set<std::string> far;
    for (const Participant &it : transfer.participants) {
        if (it.domain != transfer.options.storeDomain && !it.domain.empty()) {
            far.insert(it.domain);
        }
    }
    return {far.begin(), far.end()};
}

void updateAssignments(Transfer &transfer)
{
    std::vector<std::string> nearStore;
    std::vector<std::string> inDomain;
    std::vector<std::string> all;
    bool storeIsLive = false;
    for (const Participant &it : transfer.participants) {
        all.push_back(it.vm);
        if (it.domain == transfer.options.storeDomain) {
            nearStore.push_back(it.vm);
            storeIsLive = storeIsLive || transfer.liveVms.contains(it.vm);
        }
        if (it.domain == transfer.options.domain) {
            inDomain.push_back(it.vm);
        }
    }
    auto &group = storeIsLive ? nearStore : all;
    std::sort(group.begin(), group.end());
    if (group != transfer.originAssignment.vms) {
        transfer.originAssignment = assignChunks(transfer.chunks, group);
    }
    std::sort(inDomain.begin(), inDomain.end());
    auto farRegions = findRemoteRegions(transfer);
    if (transfer.options.domainsAreRegions
        && (inDomain != transfer.importAssignment.vms || farRegions.size() != transfer.remoteRegions.size())) {
        transfer.importAssignment = importOrder(transfer.chunks, inDomain, std::max<std::size_t>(1, farRegions.size()));
    }
    transfer.remoteRegions = std::move(farRegions);
    transfer.ownChunks.clear();
    for (std::size_t i = 0; i < transfer.originAssignment.primary.size(); ++i) {
        if (!transfer.held[i]
            && transfer.originAssignment.vms[transfer.originAssignment.primary[i]] == transfer.options.vm) {
            transfer.ownChunks.push_back(i);
        }
    }
}

/// Returns the nearest live VM before this one in the order of domains and names; empty if there is none.
std::vector<std::string> predecessorOf(const Transfer &transfer)
{
    auto ordered = transfer.participants;
    std::sort(ordered.begin(), ordered.end(), [](const Participant &a, const Participant &b) {
        return std::tie(a.domain, a.vm) < std::tie(b.domain, b.vm);
    });
    std::vector<std::string> before;
    for (const Participant &it : ordered) {
        if (it.vm == transfer.options.vm) {
            break;
        }
        if (it.isLive) {
            before = {it.vm};
        }
    }
    return before;
}

} // namespace

Transfer makeTransfer(const PlanOptions &options, std::vector<Digest> chunks, std::vector<bool> held, Millis now)
{
    Transfer transfer{.options = options, .chunks = std::move(chunks), .held = std::move(held), .startedAt = now};
    const std::size_t count = transfer.chunks.size();
    transfer.held.resize(count);
    transfer.holders.resize(count);
    transfer.localHolders.resize(count);
    transfer.remoteSeenAt.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        if (!transfer.held[i]) {
            transfer.missing.push_back(i);
        }
    }
    return transfer;
}

void setParticipants(Transfer &transfer, std::vector<Participant> participants, Millis now)
{
    transfer.liveVms.clear();
    for (const Participant &it : participants) {
        // A VM that has just started or just failed keeps its chunks until the takeover timeout.
        const auto [seen, isNew] = transfer.lastLiveAt.try_emplace(it.vm, transfer.startedAt);
        if (it.isLive) {
            seen->second = now;
        }
        if (it.isLive || now - seen->second < transfer.options.takeoverTimeout) {
            transfer.liveVms.insert(it.vm);
            transfer.lastProgressAt.try_emplace(it.vm, now);
        } else {
            transfer.lastProgressAt.erase(it.vm);
        }
    }
    transfer.liveVms.insert(transfer.options.vm);
    if (participants != transfer.participants) {
        transfer.participants = std::move(participants);
        updateAssignments(transfer);
    }
}

std::vector<std::string> chooseNeighbours(const Transfer &transfer)
{
    const PlanOptions &options = transfer.options;
    if (options.policy == Policy::Origin) {
        return {};
    }
    if (options.policy == Policy::Chain) {
        return predecessorOf(transfer);
    }
    std::map<std::string, std::vector<std::string>> byDomain;
    for (const Participant &it : transfer.participants) {
        if (it.isLive && it.vm != options.vm) {
            byDomain[options.domainsAreRegions ? it.domain : options.domain].push_back(it.vm);
        }
    }
    std::vector<std::string> chosen;
    for (const auto &[domain, vms] : byDomain) {
        const std::size_t limit = domain == options.domain ? options.neighbours : options.remoteNeighbours;
        auto order = rendezvousOrder(options.vm, vms);
        order.resize(std::min(order.size(), limit));
        chosen.insert(chosen.end(), order.begin(), order.end());
    }
    return chosen;
}

void setSources(Transfer &transfer, const std::vector<std::string> &vms)
{
    const std::set<std::string> wanted(vms.begin(), vms.end());
    for (auto it = transfer.sources.begin(); it != transfer.sources.end();) {
        if (wanted.contains(it->first)) {
            ++it;
            continue;
        }
        removeAllHoldings(transfer, it->second);
        it = transfer.sources.erase(it);
    }
    for (const Participant &it : transfer.participants) {
        if (wanted.contains(it.vm) && !transfer.sources.contains(it.vm)) {
            transfer.sources.emplace(it.vm,
                                     Source{.domain = it.domain, .holds = std::vector<bool>(transfer.chunks.size())});
        }
    }
}

void applyHoldings(Transfer &transfer, const std::string &source, std::string_view bitmap, Millis now)
{
    const auto it = transfer.sources.find(source);
    if (it == transfer.sources.end()) {
        return;
    }
    if (isDistrusted(transfer, it->second) && now < it->second.availableAt) {
        return;
    }
    it->second.hasReported = true;
    for (std::size_t i = 0; i < transfer.chunks.size(); ++i) {
        const bool holds = bitOf(bitmap, i) && !it->second.undelivered.contains(i);
        if (holds && !it->second.holds[i]) {
            addHolding(transfer, it->second, i, now);
        } else if (!holds) {
            removeHolding(transfer, it->second, i);
        }
    }
}

bool recordArrival(Transfer &transfer, std::size_t chunk, const std::string &source, Millis queueDelay, Millis now)
{
    const auto request = transfer.requests.find(chunk);
    if (request != transfer.requests.end() && request->second.source == source) {
        if (source.empty()) {
            --transfer.originRequests;
            transfer.originLatency = now - request->second.sentAt;
        }
        transfer.requests.erase(request);
    }
    const auto it = transfer.sources.find(source);
    if (it != transfer.sources.end()) {
        it->second.requests -= it->second.requests > 0 ? 1 : 0;
        it->second.queueDelay = queueDelay;
        it->second.backoff /= 2;
        it->second.undelivered.clear();
    }
    if (transfer.held[chunk]) {
        return false;
    }
    transfer.held[chunk] = true;
    std::erase(transfer.missing, chunk);
    return true;
}

void recordFailure(Transfer &transfer, std::size_t chunk, const std::string &source, FetchFailure reason,
                   Millis queueDelay, Millis now)
{
    const auto request = transfer.requests.find(chunk);
    if (request != transfer.requests.end() && request->second.source == source) {
        transfer.originRequests -= source.empty() ? 1 : 0;
        transfer.requests.erase(request);
    }
    if (source.empty()) {
        transfer.originFailedAt = now;
        transfer.originAvailableAt = now + OriginPause;
        return;
    }
    const auto it = transfer.sources.find(source);
    if (it == transfer.sources.end()) {
        return;
    }
    Source &peer = it->second;
    peer.requests -= peer.requests > 0 ? 1 : 0;
    if (reason == FetchFailure::Busy) {
        peer.queueDelay = queueDelay;
        peer.availableAt = std::max(peer.availableAt, now + std::max(queueDelay / 4, BusyPauseMin));
    } else if (reason == FetchFailure::NotHeld) {
        removeHolding(transfer, peer, chunk);
    } else {
        const Millis first = transfer.options.backoffMin * (reason == FetchFailure::Corrupt ? CorruptPenalty : 1);
        peer.backoff = std::min(transfer.options.backoffMax, std::max(first, peer.backoff * 2));
        peer.availableAt = now + peer.backoff;
        // Otherwise a chunk that only this source reports to hold would never be fetched from the origin again.
        peer.undelivered.insert(chunk);
        removeHolding(transfer, peer, chunk);
        if (isDistrusted(transfer, peer)) {
            removeAllHoldings(transfer, peer);
        }
    }
}

std::vector<ChunkRequest> expireRequests(Transfer &transfer, Millis now)
{
    std::vector<ChunkRequest> expired;
    for (const auto &[chunk, request] : transfer.requests) {
        // Requests to the origin have a deadline of their own, since its queue may be long.
        if (!request.source.empty() && now - request.sentAt >= transfer.options.chunkTimeout) {
            expired.push_back({.chunk = chunk, .source = request.source});
        }
    }
    for (const ChunkRequest &draw : expired) {
        recordFailure(transfer, draw.chunk, draw.source, FetchFailure::NoResponse, Millis(0), now);
    }
    return expired;
}

bool isComplete(const Transfer &transfer)
{
    return transfer.missing.empty();
}

} // namespace ibislock::weights
