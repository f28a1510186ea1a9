// Plans one VM's transfer of one version: which chunk next, from whom, how many at once.
//
//     Transfer transfer = makeTransfer(options, chunks, now);
//     setParticipants(transfer, participants, now);            // who else fetches it, and who is live
//     setSources(transfer, neighboursOf(transfer));            // whom to ask
//     noteHoldings(transfer, "t2", bitmap, now);               // what they hold
//     while (auto draw = nextDraw(transfer, now, random)) { ... }
//     noteArrived(transfer, draw->chunk, now);                 // or noteFailed
//
// For each chunk one VM of the store's failure domain draws from the origin; the next one takes over when it dies or
// is silent for too long. All others exchange chunks, the rarest first. Between regions each chunk enters a region
// once: the regions without the store draw disjoint parts from the store's region and exchange them.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/names.h"
#include "ibislock/base/random.h"
#include "ibislock/weights/assignment.h"

#include <map>

namespace ibislock::weights
{

/// How chunks spread. All but the first are kept for comparison.
enum class Policy {
    Rendezvous, ///< One first fetcher for each chunk, then rarest-first exchange.
    Random, ///< Rarest-first exchange; chunks that no neighbour holds are drawn from the origin at random.
    Chain, ///< Each VM draws from the one before it.
    Origin, ///< Each VM draws everything from the origin.
};

/// External names of the policies.
inline constexpr NameTable<Policy, 4> PolicyNames{{
    {Policy::Rendezvous, "rendezvous"},
    {Policy::Random, "random"},
    {Policy::Chain, "chain"},
    {Policy::Origin, "origin"},
}};

/// Limits of a transfer.
struct PlanOptions
{
    std::string vm;
    std::string domain;
    Policy policy = Policy::Rendezvous;
    std::uint32_t maxPeerRequests = 8; ///< Chunks asked of other VMs at the same time.
    std::uint32_t maxRequestsPerSource = 2; ///< Chunks asked of one VM at the same time.
    std::uint32_t maxOriginRequests = 1; ///< Chunks asked of the origin at the same time.
    std::uint32_t neighbours = 12; ///< VMs of the own domain that are asked.
    std::uint32_t remoteNeighbours = 3; ///< VMs of each other region that are asked.
    Millis takeoverTimeout{2000}; ///< How long a first fetcher may be silent, beside the time that the origin takes.
    Millis chunkTimeout{5000}; ///< How long a VM may take for a chunk.
    Millis originStartDelay{1000}; ///< How long the origin is spared until the neighbours have told what they hold.
    Millis backoffMin{500}; ///< How long a VM that failed is not asked, at first.
    Millis backoffMax{30000}; ///< How long at most.
    Millis importInterval{0}; ///< The time between two chunks that a VM draws over one link between regions.
    bool domainsAreRegions = false; ///< Whether links between failure domains are scarce.
    std::string storeDomain; ///< Where the store stands; empty when it is near to all.
};

/// A VM that is to have the version.
struct Participant
{
    std::string vm;
    std::string domain; ///< Empty while it is not known.
    bool isLive = false;

    bool operator==(const Participant &) const = default;
};

/// A VM that is asked for chunks.
struct Source
{
    std::string domain;
    std::vector<bool> holds;
    std::set<std::size_t>
        undelivered; ///< Chunks that it claims to hold and did not deliver, until it delivers another.
    bool hasReported = false; ///< Whether it has told what it holds.
    std::uint32_t requests = 0;
    Millis availableAt{0};
    Millis queueDelay{0}; ///< How long its queue was when it answered last.
    Millis backoff{0};
};

/// A chunk that has been asked for.
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
    std::vector<std::uint16_t> holders; ///< By chunk, among the sources.
    std::vector<std::uint16_t> localHolders; ///< By chunk, among the sources of the own domain.
    std::vector<Millis> remoteSeenAt; ///< By chunk: when a source of another region first held it.
    std::vector<Participant> participants;
    std::set<std::string> liveVms; ///< Those that are live, or were until a moment ago.
    std::map<std::string, Millis> lastLiveAt; ///< By VM: when it was seen live last.
    ChunkAssignment originAssignment; ///< Who draws from the origin.
    ChunkAssignment importAssignment; ///< Who draws over the links between regions, in the own region.
    std::vector<std::string>
        remoteRegions; ///< Without the store's. Chunk i comes first to region i modulo their number.
    std::vector<std::size_t> ownChunks; ///< Chunks of which this VM is the first fetcher.
    std::map<std::string, Millis> lastProgressAt; ///< By VM: when a chunk that it draws first was last seen.
    std::map<std::string, Millis> regionProgressAt; ///< By domain: when it last gained a chunk.
    std::map<std::string, Millis> regionAvailableAt; ///< By domain: when the link to it allows the next chunk.
    std::uint32_t originRequests = 0;
    Millis originAvailableAt{0};
    Millis originFailedAt{0};
    Millis originLatency{0};
    Millis nextTakeoverScanAt{0};
    Millis startedAt{0};
};

/// A chunk to ask for.
struct ChunkRequest
{
    std::size_t chunk = 0;
    std::string source; ///< Empty for the origin.
};

/// Why a chunk did not come.
enum class FetchFailure {
    Busy, ///< The source has too many others to serve.
    NotHeld, ///< The source does not hold the chunk.
    NoResponse, ///< The source did not answer.
    Corrupt, ///< The chunk failed its check.
};

/// Starts a transfer.
/// @param held the chunks that are there already.
Transfer makeTransfer(const PlanOptions &options, std::vector<Digest> chunks, std::vector<bool> held, Millis now);

/// Takes over who is to have the version and who is live.
void setParticipants(Transfer &transfer, std::vector<Participant> participants, Millis now);

/// Chooses the VMs to ask: live ones of the own domain and some of each other region.
std::vector<std::string> chooseNeighbours(const Transfer &transfer);

/// Sets the VMs to ask. What is known of those that stay is kept.
void setSources(Transfer &transfer, const std::vector<std::string> &vms);

/// Takes over what a source holds.
/// @param bitmap bit i stands for chunk i.
void applyHoldings(Transfer &transfer, const std::string &source, std::string_view bitmap, Millis now);

/// Decides what to ask for next, and counts it as asked for.
std::optional<ChunkRequest> nextRequest(Transfer &transfer, Millis now, Random &random);

/// Takes note of a verified chunk.
/// @param queue how long the source's queue is.
/// @return whether the chunk is new.
bool recordArrival(Transfer &transfer, std::size_t chunk, const std::string &source, Millis queue, Millis now);

/// Takes note of a chunk that did not come.
/// @param wait how long the source's queue is, when it is busy.
void recordFailure(Transfer &transfer, std::size_t chunk, const std::string &source, FetchFailure reason, Millis wait,
                   Millis now);

/// Gives up requests that have taken too long.
/// @return the chunks and whom they were asked of.
std::vector<ChunkRequest> expireRequests(Transfer &transfer, Millis now);

/// Tells whether every chunk is there.
bool isComplete(const Transfer &transfer);

} // namespace ibislock::weights
