// Fetches the missing pieces of a version. Each piece is requested from its sources in their order with a long poll; a
// source that holds it is added to the queue of transfers, whose rate limit leaves room on the VM's link. If the
// version isn't new, the VMs first tell each other what they hold, and a piece goes straight to the transfers.
// Independently of these requests, pieces that no VM is known to hold are fetched from the origin, one after another,
// when it is this VM's turn (weights/origin_turns.h).
//
//     fetcher.begin({.model = "m", .version = 2, .origin = "10.0.0.1:80", .digests = digests, .domain = "domain-a",
//                    .members = members});
//     fetcher.fetchMore(staged);    // periodically; `onPiece` receives each piece, and recordStaging() must follow

#pragma once

#include "desired_weights.h"
#include "ibislock/base/random.h"
#include "ibislock/net/http_client.h"
#include "ibislock/net/timer.h"
#include "ibislock/weights/piece_holdings.h"
#include "link_pacing.h"
#include "piece_exchange.h"

#include <deque>
#include <set>

namespace ibislock::side
{

/// The version to fetch.
struct FetchTask
{
    std::string model;
    std::int64_t version = 0;
    std::string origin; ///< IP:PORT; empty while unknown.
    std::vector<Digest> digests;
    std::string domain; ///< The failure domain of this VM.
    DistributionMembers members;
    std::vector<bool> held = {}; ///< By piece: whether this VM holds it; other VMs are told. Empty for none.
    bool isFresh = false; ///< The version was announced just now: no VM can hold a piece of it already.
    Millis originPieceTime{0}; ///< How long the origin's link takes for a piece; zero if unknown.
    std::size_t pieceBytes = 0; ///< Size of the largest piece; 0 if unknown.
};

/// Counters of fetched pieces.
struct FetchCounts
{
    std::uint64_t fromOrigin = 0;
    std::uint64_t fromPeers = 0;
    std::uint64_t originAttempts = 0; ///< Requests of pieces to the origin.
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

    /// Records what another VM holds of a version, if it is the one that is fetched.
    /// @param held as `weights::encodeHeld` writes it.
    void recordPeerHoldings(std::int64_t version, const std::string &vm, std::string_view held);

    const FetchCounts &counts() const;

    /// Returns what is known of the pieces of the version at other VMs and at the origin.
    const weights::OriginTurns &turns() const;

private:
    /// A piece for which a source is being searched.
    struct Search
    {
        int piece = 0;
        weights::PieceRole role = weights::PieceRole::Member;
        std::vector<weights::PieceSource> sources;
        std::size_t sourceIndex = 0; ///< The source that is tried.
        bool previousUnreachable = false; ///< The previous source was unreachable.
        bool juniorsAsked = false; ///< VMs behind this one in the order are among the sources.
        std::uint64_t number = 0; ///< Counts the searches of the fetcher.
        std::set<std::string> awaited; ///< VMs that were given time to fetch the piece.
    };

    /// A piece that a VM holds and that waits for this VM's link.
    struct Transfer
    {
        Search search;
        std::string redirectVm; ///< The VM to which the source has redirected; empty for the source itself.
    };

    /// Plans the fetches anew if other VMs take part than before.
    void updatePlan(Millis now);

    /// Gives up searches that wait for a VM which isn't to fetch the piece any more.
    void restartSearches();

    /// Asks the VMs that have not been asked for what they hold, and tells them what this one holds.
    void askHoldings();

    /// Forgets what VMs hold that don't take part any more.
    void forgetHoldingsOfOthers();

    /// Brings the missing pieces in line with what other VMs hold.
    void updateHeldElsewhere();

    /// Counts a piece as missing again that only VMs held which don't take part or respond any more.
    void countIfMissing(int piece);
    bool isHeldHere(int piece) const;

    /// Ends the time in which pieces count as held that other VMs may hold, and begins the turns at the origin.
    void finishSurvey();

    /// Queues the transfer of a piece from a VM that is known to hold it.
    /// @return whether there is one from which this VM may take it.
    bool takeFromHolder(const weights::PiecePlan &plan);
    Search makeSearch(const weights::PiecePlan &plan);

    /// Returns whether a search is over: the piece has been delivered or is being transferred, or the search has been
    /// given up.
    bool isSuperseded(const Search &search) const;
    void queueTransfer(Search search);
    void requestFromSource(Search search);

    /// Returns whether a source is in another domain and the owner in the own domain is to deliver the piece instead.
    bool isLeftToOwner(const Search &search, const weights::PieceSource &source) const;
    bool isInOtherDomain(const std::string &vm) const;

    /// Returns whether a VM can't be reached, or doesn't fetch the version.
    bool isOut(const std::string &vm) const;

    /// Waits for the first reachable VM before this one in the order of the piece, or tries the piece again later.
    void finishSearch(Search search);
    Millis ownerTimeout() const;
    void startTransfers();
    void updateUrgentTransfers();
    Transfer takeRandomTransfer();
    void startTransfer(Transfer next);
    void handleTransferResponse(Transfer done, const std::optional<peer::PieceMessage> &answer, Millis took);
    static std::string vmOf(const Transfer &transfer);

    /// Starts the next fetch from the origin if it is this VM's turn.
    void stepOrigin();
    bool mayFetchFromOrigin(weights::OriginTurn turn, int piece);

    /// Returns whether all of some VMs are out; checks those of which nothing is known.
    bool areOut(const std::vector<std::string> &vms);
    Millis originTimeout() const;
    void fetchFromOrigin(int piece);
    void handleOriginResponse(int piece, int status, std::string body);
    void deliverPiece(int piece, std::string bytes, bool fromOrigin);
    void retryLater(int piece);
    void recordMismatch(int piece, const Digest &received);

    /// Logs once a second what is missing, and which VM a piece has been waited for the longest.
    void logProgress(Millis now);

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
    FetchCounts m_countsBefore; ///< `m_counts` when the task began.
    Millis m_startedAt{0};
    Millis m_progressLoggedAt{0};

    /// A request for a piece to another VM that has no response yet.
    struct Wait
    {
        std::string vm;
        Millis since{0};
        bool isLongPoll = false;
    };

    std::map<int, Wait> m_waits; ///< By piece.
    std::map<int, std::uint64_t> m_searchesFrom; ///< By piece: the search before which all have been given up.
    std::uint64_t m_generation =
        0; ///< Incremented on each start and stop; responses of an earlier generation are ignored.
    std::set<int> m_fetching;
    std::map<int, int> m_searchRounds; ///< By piece: how often all its sources were tried.
    std::map<int, Digest> m_mismatches; ///< By piece: the digest of the bytes that came last and didn't match.
    bool m_manifestDoubted = false;
    std::vector<weights::DistributionMember> m_members; ///< For which the fetches are planned.
    std::vector<weights::PiecePlan> m_plan;
    std::uint64_t m_lastSearch = 0; ///< The number of the last search that was begun.
    std::vector<weights::OriginRank> m_ranks; ///< By piece.
    std::map<std::string, std::string> m_domains; ///< By VM.
    Millis m_nextPlanAt{0};
    std::map<std::string, Millis> m_declinedAt; ///< By VM: when it responded that it doesn't fetch the version.
    std::set<int> m_delivered; ///< Pieces that were passed on; they need no source any more.
    std::map<int, Millis> m_retryAt; ///< By piece: when an unavailable one is tried again.
    weights::PieceHoldings m_holdings; ///< Of VMs that take part.
    std::set<int> m_heldElsewhere; ///< Pieces that don't count as missing because of these.
    std::set<std::string> m_holdingsAsked; ///< VMs that were asked for what they hold.
    std::set<std::string> m_holdingsAwaited; ///< Those of them that have not responded.
    std::optional<Millis> m_surveyEnd; ///< Until then, nothing is requested from the origin; none before and after.
    weights::OriginTurns m_turns;
    std::map<int, Millis> m_originRetryAt; ///< By piece: when one that was corrupt is requested from the origin again.
    Millis m_goneUntil{0}; ///< The origin didn't have the version any more; it isn't asked until then.
    net::Timer m_originTimer;
    bool m_originFetchActive = false;
    std::uint64_t m_originFetch = 0; ///< Number of the latest fetch.
    Millis m_originSentAt{0};
    std::deque<Transfer> m_queuedTransfers;
    std::set<int> m_transferring; ///< Pieces of queued and active transfers.
    int m_activeTransfers = 0;
    int m_transferWindow = 1; ///< Limit of concurrent transfers; adapts to the link.
    std::set<std::string> m_activeSources;
    net::Timer m_transferTimer;
};

} // namespace ibislock::side
