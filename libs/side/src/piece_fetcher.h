// Fetches the missing pieces of a version. Each piece is requested from its sources in their order with a long poll; a
// source that holds it is added to the queue of transfers, whose rate limit leaves room on the VM's link. Pieces that
// no source delivers are fetched from the origin, one after another.
//
//     fetcher.begin({.model = "m", .version = 2, .origin = "10.0.0.1:80", .digests = digests, .plan = plan});
//     fetcher.fetchMore(staged);    // periodically; `onPiece` receives each piece, and recordStaging() must follow

#pragma once

#include "ibislock/base/random.h"
#include "ibislock/net/http_client.h"
#include "ibislock/net/timer.h"
#include "ibislock/weights/piece_sources.h"
#include "link_pacing.h"
#include "piece_exchange.h"

#include <deque>
#include <set>

namespace ibislock::side
{

/// The version to fetch and its plan.
struct FetchTask
{
    std::string model;
    std::int64_t version = 0;
    std::string origin; ///< IP:PORT; empty while unknown.
    std::vector<Digest> digests;
    std::vector<weights::PiecePlan> plan;
    Millis originPieceTime{0}; ///< How long the origin's link takes for a piece; zero if unknown.
    std::size_t pieceBytes = 0; ///< Size of the largest piece; 0 if unknown.
};

/// Counters of fetched pieces.
struct FetchCounts
{
    std::uint64_t fromOrigin = 0;
    std::uint64_t fromPeers = 0;
    std::uint64_t corrupt = 0; ///< Pieces from the origin that didn't match their digest.
};

/// The priority of a fetcher's transfers on the VM's link.
enum class FetchPriority {
    Urgent, ///< For the version that is needed first.
    Background, ///< Transfers wait while there are urgent ones.
};

/// Callbacks of a fetcher.
struct PieceFetcherEvents
{
    /// Receives each piece that matches its digest.
    std::function<void(int piece, std::string bytes)> onPiece;
    /// The same bytes have come twice in a row for a piece that doesn't match its digest: the manifest may be wrong,
    /// not the piece. Called once for each task.
    std::function<void()> onManifestDoubt;
};

/// Fetches the pieces of one version at a time.
class PieceFetcher
{
public:
    /// @param pacing the rate limit of the VM's link; must outlive the fetcher.
    PieceFetcher(asio::io_context &loop, net::HttpClient &client, PieceExchange &exchange, std::string self,
                 LinkPacing &pacing, FetchPriority priority, PieceFetcherEvents events);

    /// Starts with a version; cancels the fetches of another one.
    void begin(FetchTask task);

    /// Cancels all fetches.
    void stop();

    /// Starts to fetch all pieces that are neither staged nor being fetched.
    /// @param staged the indexes of the staged pieces.
    void fetchMore(const std::set<int> &staged);

    /// Marks a piece as being staged that wasn't fetched by this fetcher, so that it isn't fetched.
    void markStaging(int piece);

    /// Records whether staging a delivered piece has succeeded; if not, the piece is fetched again.
    void recordStaging(int piece, bool staged);

    const FetchCounts &counts() const;

private:
    /// A piece for which a source is being searched.
    struct Search
    {
        int piece = 0;
        weights::PieceRole role = weights::PieceRole::Member;
        std::vector<weights::PieceSource> sources;
        std::size_t sourceIndex = 0; ///< The source that is tried.
        bool previousUnreachable = false; ///< The previous source was unreachable.
        bool anyResponded = false; ///< Whether any source has responded.
    };

    /// A piece that a VM holds and that waits for this VM's link.
    struct Transfer
    {
        Search search;
        std::string redirectVm; ///< The VM to which the source has redirected; empty for the source itself.
    };

    void requestFromSource(Search search);
    void finishSearch(const Search &search);
    Millis ownerTimeout() const;

    /// Schedules the fetch of an owned piece from the origin.
    void scheduleOriginFetch(int piece);
    void startDueOriginFetches();
    void startTransfers();
    void updateUrgentTransfers();
    Transfer takeRandomTransfer();
    void startTransfer(Transfer next);
    void handleTransferResponse(Transfer done, const std::optional<peer::PieceMessage> &answer, Millis took);
    static std::string vmOf(const Transfer &transfer);
    void fetchNextFromOrigin();
    void fetchFromOrigin(int piece);
    void deliverPiece(int piece, std::string bytes, bool fromOrigin);
    void retryLater(int piece);
    void recordMismatch(int piece, const Digest &received);

    asio::io_context &m_loop;
    net::HttpClient &m_client;
    PieceExchange &m_exchange;
    std::string m_self;
    LinkPacing &m_pacing;
    FetchPriority m_priority;
    PieceFetcherEvents m_events;
    Random m_random;
    FetchTask m_task;
    FetchCounts m_counts;
    std::uint64_t m_generation =
        0; ///< Incremented on each start and stop; responses of an earlier generation are ignored.
    std::set<int> m_fetching;
    std::map<int, int> m_searchRounds; ///< By piece: how often all its sources were tried.
    std::map<int, Digest> m_mismatches; ///< By piece: the digest of the bytes that came last and didn't match.
    bool m_manifestDoubted = false;
    Millis m_startedAt{0};
    std::deque<std::pair<Millis, int>>
        m_originSchedule; ///< Fetch times of the pieces that this VM owns, in ascending order.
    net::Timer m_originTimer;
    std::map<int, Millis> m_retryAt; ///< By piece: when an unavailable one is tried again.
    std::deque<int> m_originQueue; ///< Pieces to fetch from the origin, one after another.
    bool m_originFetchActive = false;
    std::deque<Transfer> m_queuedTransfers;
    int m_activeTransfers = 0;
    int m_transferWindow = 1; ///< Limit of concurrent transfers; adapts to the link.
    std::set<std::string> m_activeSources;
    net::Timer m_transferTimer;
};

} // namespace ibislock::side
