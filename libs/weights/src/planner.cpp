#include "ibislock/weights/planner.h"

#include <algorithm>

namespace ibislock::weights
{

namespace
{

constexpr std::size_t SampleMax = 512;
constexpr std::size_t LevelMax = 3;
constexpr Millis TakeoverScanInterval{250};
constexpr int LatencyAllowance = 2;
constexpr int ImportAllowance = 4;

bool isWanted(const Transfer &transfer, std::size_t chunk)
{
    return !transfer.held[chunk] && !transfer.requests.contains(chunk);
}

Millis progressOf(const Transfer &transfer, const std::string &vm)
{
    const auto it = transfer.lastProgressAt.find(vm);
    return it == transfer.lastProgressAt.end() ? transfer.startedAt : it->second;
}

/// Returns whether this VM is to fetch a chunk now: it is assigned to it, or all live VMs before it have made no
/// progress for too long.
/// @param stalledSince the earliest time from which a lack of progress counts.
/// @param allowance how long each VM may make no progress.
bool isFetcher(const Transfer &transfer, const ChunkAssignment &order, std::size_t chunk, Millis stalledSince,
               Millis allowance, Millis now)
{
    for (std::size_t level = 0; level <= LevelMax; ++level) {
        const auto drawer = assignedVm(order, chunk, transfer.chunks[chunk], transfer.liveVms, level);
        if (!drawer) {
            return false;
        }
        if (*drawer == transfer.options.vm) {
            return true;
        }
        const Millis since = std::max(stalledSince, progressOf(transfer, *drawer));
        if (now - since < allowance * static_cast<int>(level + 1)) {
            return false;
        }
    }
    return false;
}

/// Returns how long the assigned VM may make no progress. The latency that this VM sees is included, as the origin's
/// queue is the same for both.
Millis originAllowance(const Transfer &transfer, Millis now)
{
    Millis latency = transfer.originLatency;
    for (const auto &[chunk, request] : transfer.requests) {
        if (request.source.empty()) {
            latency = std::max(latency, now - request.sentAt);
        }
    }
    return transfer.options.takeoverTimeout + LatencyAllowance * latency;
}

/// Returns whether the domains of all participants and the holdings of all sources are known.
bool areSourcesKnown(const Transfer &transfer)
{
    const bool placed = std::none_of(transfer.participants.begin(), transfer.participants.end(),
                                     [](const Participant &it) { return it.domain.empty(); });
    return placed && std::all_of(transfer.sources.begin(), transfer.sources.end(), [](const auto &it) {
               return it.second.hasReported;
           });
}

/// Chooses a chunk that is assigned to another VM which is down or makes no progress.
std::optional<std::size_t> chooseTakeover(Transfer &transfer, Millis now)
{
    if (now < transfer.nextTakeoverScanAt) {
        return std::nullopt;
    }
    const Millis allowance = originAllowance(transfer, now);
    const Millis stalledSince = std::max(transfer.startedAt, transfer.originFailedAt);
    for (const std::size_t chunk : transfer.missing) {
        if (!isWanted(transfer, chunk) || transfer.holders[chunk] > 0
            || chunk >= transfer.originAssignment.primary.size()) {
            continue;
        }
        const std::string &first = transfer.originAssignment.vms[transfer.originAssignment.primary[chunk]];
        const bool isSilent =
            !transfer.liveVms.contains(first) || now - std::max(stalledSince, progressOf(transfer, first)) >= allowance;
        if (isSilent && isFetcher(transfer, transfer.originAssignment, chunk, stalledSince, allowance, now)) {
            return chunk;
        }
    }
    transfer.nextTakeoverScanAt = now + TakeoverScanInterval;
    return std::nullopt;
}

std::optional<std::size_t> chooseAssigned(Transfer &transfer, Millis now, Random &random)
{
    std::erase_if(transfer.ownChunks, [&](std::size_t chunk) { return transfer.held[chunk]; });
    const std::size_t count = transfer.ownChunks.size();
    const std::size_t begin = count == 0 ? 0 : random() % count;
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t chunk = transfer.ownChunks[(begin + i) % count];
        if (isWanted(transfer, chunk) && transfer.holders[chunk] == 0) {
            return chunk;
        }
    }
    return chooseTakeover(transfer, now);
}

/// Chooses a missing chunk that no source holds, for the policies that fetch from the origin without coordination.
std::optional<std::size_t> chooseUnheld(const Transfer &transfer, bool inOrder, Random &random)
{
    const std::size_t count = transfer.missing.size();
    const std::size_t begin = inOrder || count == 0 ? 0 : random() % count;
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t chunk = transfer.missing[(begin + i) % count];
        if (isWanted(transfer, chunk) && transfer.holders[chunk] == 0) {
            return chunk;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> chooseForOrigin(Transfer &transfer, Millis now, Random &random)
{
    const PlanOptions &options = transfer.options;
    if (transfer.originRequests >= options.maxOriginRequests || now < transfer.originAvailableAt) {
        return std::nullopt;
    }
    if (!areSourcesKnown(transfer) && now - transfer.startedAt < options.originStartDelay) {
        return std::nullopt;
    }
    switch (options.policy) {
    case Policy::Rendezvous:
        return chooseAssigned(transfer, now, random);
    case Policy::Random:
    case Policy::Origin:
        return chooseUnheld(transfer, false, random);
    case Policy::Chain:
        return transfer.sources.empty() ? chooseUnheld(transfer, true, random) : std::nullopt;
    }
    return std::nullopt;
}

/// Returns the region from which this region receives a chunk.
std::string importRegion(const Transfer &transfer, std::size_t chunk)
{
    const auto &far = transfer.remoteRegions;
    if (far.empty() || transfer.options.domain == transfer.options.storeDomain) {
        return transfer.options.storeDomain;
    }
    const std::string &entry = far[chunk % far.size()];
    return entry == transfer.options.domain ? transfer.options.storeDomain : entry;
}

/// Returns whether this VM may fetch a chunk over the link from a source's region.
bool mayImport(const Transfer &transfer, std::size_t chunk, const Source &source, Millis now)
{
    const PlanOptions &options = transfer.options;
    if (transfer.localHolders[chunk] > 0) {
        return false;
    }
    const auto free = transfer.regionAvailableAt.find(source.domain);
    if (free != transfer.regionAvailableAt.end() && now < free->second) {
        return false;
    }
    const Millis allowance = options.takeoverTimeout + ImportAllowance * options.importInterval;
    const std::string region = importRegion(transfer, chunk);
    if (source.domain != region) {
        const auto progress = transfer.regionProgressAt.find(region);
        const Millis since = progress == transfer.regionProgressAt.end() ? transfer.startedAt : progress->second;
        if (now - since < allowance) {
            return false;
        }
    }
    return isFetcher(transfer, transfer.importAssignment, chunk, transfer.remoteSeenAt[chunk], allowance, now);
}

bool mayRequest(const Transfer &transfer, std::size_t chunk, const Source &source, Millis now)
{
    const bool isNear = !transfer.options.domainsAreRegions || source.domain == transfer.options.domain;
    return source.holds[chunk] && (isNear || mayImport(transfer, chunk, source, now));
}

using SourceEntry = std::pair<const std::string, Source>;

std::vector<SourceEntry *> availableSources(Transfer &transfer, Millis now, Random &random)
{
    std::vector<SourceEntry *> available;
    for (auto &it : transfer.sources) {
        if (it.second.requests < transfer.options.maxRequestsPerSource && now >= it.second.availableAt) {
            available.push_back(&it);
        }
    }
    std::shuffle(available.begin(), available.end(), random);
    std::stable_sort(available.begin(), available.end(), [](const SourceEntry *a, const SourceEntry *b) {
        return std::tie(a->second.requests, a->second.queueDelay) < std::tie(b->second.requests, b->second.queueDelay);
    });
    return available;
}

std::optional<ChunkRequest> chooseForSources(Transfer &transfer, Millis now, Random &random)
{
    const std::size_t asked = transfer.requests.size() - transfer.originRequests;
    const std::size_t count = transfer.missing.size();
    if (asked >= transfer.options.maxPeerRequests || count == 0) {
        return std::nullopt;
    }
    const auto available = availableSources(transfer, now, random);
    if (available.empty()) {
        return std::nullopt;
    }
    const bool inOrder = transfer.options.policy == Policy::Chain;
    const std::size_t begin = inOrder ? 0 : random() % count;
    std::optional<ChunkRequest> best;
    std::size_t usable = 0;
    for (std::size_t i = 0; i < count && usable < SampleMax; ++i) {
        const std::size_t chunk = transfer.missing[(begin + i) % count];
        const bool isRarer = !best || (!inOrder && transfer.holders[chunk] < transfer.holders[best->chunk]);
        if (transfer.holders[chunk] == 0 || !isRarer || !isWanted(transfer, chunk)) {
            continue;
        }
        ++usable;
        const auto source = std::find_if(available.begin(), available.end(), [&](const SourceEntry *it) {
            return mayRequest(transfer, chunk, it->second, now);
        });
        if (source != available.end()) {
            best = ChunkRequest{.chunk = chunk, .source = (*source)->first};
        }
    }
    return best;
}

} // namespace

std::optional<ChunkRequest> nextRequest(Transfer &transfer, Millis now, Random &random)
{
    if (const auto chunk = chooseForOrigin(transfer, now, random)) {
        ++transfer.originRequests;
        transfer.requests[*chunk] = {.source = {}, .sentAt = now};
        return ChunkRequest{.chunk = *chunk, .source = {}};
    }
    auto draw = chooseForSources(transfer, now, random);
    if (draw) {
        ++transfer.sources.at(draw->source).requests;
        transfer.requests[draw->chunk] = {.source = draw->source, .sentAt = now};
    }
    return draw;
}

} // namespace ibislock::weights
