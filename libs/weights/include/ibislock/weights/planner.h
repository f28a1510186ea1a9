// Plans the transfer of one version to one VM: which chunk to request next, from which source, and how many at once.
//
//     Transfer transfer = makeTransfer(options, chunks, now);
//     setParticipants(transfer, participants, now);            // all VMs that are to have the version
//     setSources(transfer, chooseNeighbours(transfer));        // the VMs to request chunks from
//     applyHoldings(transfer, "t2", bitmap, now);              // the chunks that a source holds
//     while (auto request = nextRequest(transfer, now, random)) { ... }
//     recordArrival(transfer, request->chunk, request->source, queueDelay, now);     // or recordFailure
//
// Each chunk is fetched from the origin by one VM of the store's failure domain; another VM takes over when that one
// dies or makes no progress for too long. All VMs exchange chunks among each other, the rarest first. Each chunk enters
// a region only once: the regions without the store fetch disjoint sets of chunks from the store's region and exchange
// them.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/names.h"
#include "ibislock/base/random.h"
#include "ibislock/weights/assignment.h"

#include <map>

namespace ibislock::weights
{

/// How chunks are distributed. All but the first policy are kept for comparison.
enum class Policy {
    Rendezvous, ///< One VM fetches each chunk from the origin; then rarest-first exchange.
    Random, ///< Rarest-first exchange; chunks that no neighbour holds are fetched from the origin in random order.
    Chain, ///< Each VM fetches from its predecessor.
    Origin, ///< Each VM fetches all chunks from the origin.
};

/// External names of the policies.
inline constexpr NameTable<Policy, 4> PolicyNames{{
    {Policy::Rendezvous, "rendezvous"},
    {Policy::Random, "random"},
    {Policy::Chain, "chain"},
    {Policy::Origin, "origin"},
}};

/// Identity of the VM and limits of a transfer.
struct PlanOptions
{
    std::string vm;
    std::string domain;
    Policy policy = Policy::Rendezvous;
    std::uint32_t maxPeerRequests = 8; ///< Concurrent requests to other VMs.
    std::uint32_t maxRequestsPerSource = 2; ///< Concurrent requests to one other VM.
    std::uint32_t maxOriginRequests = 1; ///< Concurrent requests to the origin.
    std::uint32_t neighbours = 12; ///< Number of sources in the own domain.
    std::uint32_t remoteNeighbours = 3; ///< Number of sources in each other region.
    Millis takeoverTimeout{
        2000}; ///< How long the assigned VM may make no progress, in addition to the origin's latency.
    Millis chunkTimeout{5000}; ///< How long another VM may take to send a chunk.
    Millis originStartDelay{
        1000}; ///< How long to wait for the holdings of all sources before the first request to the origin.
    Millis backoffMin{500}; ///< Backoff after the first failure of a source.
    Millis backoffMax{30000}; ///< Upper limit of the backoff.
    Millis importInterval{0}; ///< Time between two chunks that a VM fetches over one link between regions.
    bool domainsAreRegions = false; ///< Whether the links between failure domains are slow.
    std::string storeDomain; ///< Failure domain of the store; empty if it is near all VMs.
};

/// A VM that is to receive the version.
struct Participant
{
    std::string vm;
    std::string domain; ///< Empty while unknown.
    bool isLive = false;

    bool operator==(const Participant &) const = default;
};

/// A VM from which chunks are requested.
struct Source
{
    std::string domain;
    std::vector<bool> holds;
    std::set<std::size_t>
        undelivered; ///< Chunks that it reports to hold but failed to deliver; cleared when it delivers any chunk.
    bool hasReported = false; ///< Whether it has reported which chunks it holds.
    std::uint32_t requests = 0;
    Millis availableAt{0};
    Millis queueDelay{0}; ///< Queueing delay in its last response.
    Millis backoff{0};
};

/// A request for a chunk that has received no response yet.
struct PendingRequest
{
    std::string source; ///< Empty for the origin.
    Millis sentAt{0};
};

/// The state of one VM's transfer.
struct Transfer
{
    PlanOptions options;
    std::vector<Digest> chunks;
    std::vector<bool> held;
    std::vector<std::size_t> missing;
    std::map<std::size_t, PendingRequest> requests;
    std::map<std::string, Source> sources;
    std::vector<std::uint16_t> holders; ///< By chunk: the number of sources that hold it.
    std::vector<std::uint16_t> localHolders; ///< By chunk: the number of sources in the own domain that hold it.
    std::vector<Millis> remoteSeenAt; ///< By chunk: when a source in another region first reported to hold it.
    std::vector<Participant> participants;
    std::set<std::string> liveVms; ///< Participants that are live or were so within the takeover timeout.
    std::map<std::string, Millis> lastLiveAt; ///< By VM: when it was last known to be live.
    ChunkAssignment originAssignment; ///< The VMs that fetch from the origin.
    ChunkAssignment importAssignment; ///< The VMs of the own region that fetch over the links between regions.
    std::vector<std::string>
        remoteRegions; ///< Regions without the store. Chunk i first enters region i modulo their number.
    std::vector<std::size_t> ownChunks; ///< Chunks that are assigned to this VM.
    std::map<std::string, Millis> lastProgressAt; ///< By VM: when a chunk that is assigned to it was last reported.
    std::map<std::string, Millis> regionProgressAt; ///< By domain: when it last gained a chunk.
    std::map<std::string, Millis> regionAvailableAt; ///< By domain: when the link to it allows the next chunk.
    std::uint32_t originRequests = 0;
    Millis originAvailableAt{0};
    Millis originFailedAt{0};
    Millis originLatency{0};
    Millis nextTakeoverScanAt{0};
    Millis startedAt{0};
};

/// A chunk to request, and its source.
struct ChunkRequest
{
    std::size_t chunk = 0;
    std::string source; ///< Empty for the origin.
};

/// Why a request for a chunk failed.
enum class FetchFailure {
    Busy, ///< The source is overloaded.
    NotHeld, ///< The source doesn't hold the chunk.
    NoResponse, ///< The source didn't respond in time or was unreachable.
    Corrupt, ///< The chunk didn't match its digest.
};

/// Starts a transfer.
/// @param held by chunk: whether this VM holds it already.
Transfer makeTransfer(const PlanOptions &options, std::vector<Digest> chunks, std::vector<bool> held, Millis now);

/// Sets the VMs that are to receive the version, and which of them are live.
void setParticipants(Transfer &transfer, std::vector<Participant> participants, Millis now);

/// Chooses the VMs to request chunks from: live ones of the own domain and some of each other region.
std::vector<std::string> chooseNeighbours(const Transfer &transfer);

/// Sets the VMs to request chunks from. The state of sources that remain is kept.
void setSources(Transfer &transfer, const std::vector<std::string> &vms);

/// Applies a source's report of the chunks that it holds.
/// @param bitmap bit i is set if the source holds chunk i.
void applyHoldings(Transfer &transfer, const std::string &source, std::string_view bitmap, Millis now);

/// Chooses the next request and records it as pending.
/// @return the request, or nothing if none can be sent now.
std::optional<ChunkRequest> nextRequest(Transfer &transfer, Millis now, Random &random);

/// Records that a verified chunk has arrived.
/// @param queueDelay the queueing delay at the source.
/// @return whether the chunk is new.
bool recordArrival(Transfer &transfer, std::size_t chunk, const std::string &source, Millis queueDelay, Millis now);

/// Records that a request has failed, and backs off from its source.
/// @param queueDelay the queueing delay at the source if it is busy.
void recordFailure(Transfer &transfer, std::size_t chunk, const std::string &source, FetchFailure reason,
                   Millis queueDelay, Millis now);

/// Cancels the requests to other VMs that have timed out, and records them as failed.
/// @return the cancelled requests.
std::vector<ChunkRequest> expireRequests(Transfer &transfer, Millis now);

/// Returns whether this VM holds every chunk.
bool isComplete(const Transfer &transfer);

} // namespace ibislock::weights
