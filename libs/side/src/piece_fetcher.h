// Fetches the pieces of a version that a VM lacks: asks the sources of each in their order, transfers what is held at a
// pace that leaves room on the VM's link, and takes the rest from the origin, one piece after another.
//
//     fetcher.begin({.model = "m", .version = 2, .origin = "10.0.0.1:80", .digests = digests, .plan = plan});
//     fetcher.fetchMore(staged);    // again and again; `taken` is given each piece, settle() says what became of it

#pragma once

#include "ibislock/base/random.h"
#include "ibislock/net/http_client.h"
#include "ibislock/net/timer.h"
#include "ibislock/weights/piece_sources.h"
#include "link_pace.h"
#include "piece_exchange.h"

#include <deque>
#include <set>

namespace ibislock::side
{

/// What is to be fetched.
struct FetchTask
{
    std::string model;
    std::int64_t version = 0;
    std::string origin; ///< IP:PORT; empty while unknown.
    std::vector<Digest> digests;
    std::vector<weights::PiecePlan> plan;
    Millis originPieceTime{0}; ///< How long the origin's link takes for a piece; zero if unknown.
};

/// What has been fetched.
struct FetchCounts
{
    std::uint64_t fromOrigin = 0; ///< Pieces.
    std::uint64_t fromPeers = 0;
    std::uint64_t corrupt = 0;
};

/// Whose transfers go first on a VM's link.
enum class FetchOrder {
    Urgent, ///< Those of the version that is needed first.
    Yielding, ///< Those that wait while the others have transfers.
};

/// The fetcher.
class PieceFetcher
{
public:
    /// @param pace of the VM's link; outlives the fetcher.
    /// @param taken is given each piece that matches its digest.
    PieceFetcher(asio::io_context &loop, net::HttpClient &client, PieceExchange &exchange, std::string self,
                 LinkPace &pace, FetchOrder order, std::function<void(int piece, std::string bytes)> taken);

    /// Begins with a version; what was under way for another is given up.
    void begin(FetchTask task);

    /// Gives up what is under way.
    void stop();

    /// Asks for all pieces that are not staged and not asked for.
    void fetchMore(const std::set<int> &staged);

    /// Notes that a piece which was got elsewhere is on its way to the stage.
    void claim(int piece);

    /// Tells whether a piece that was taken has been staged; if not, it is fetched again.
    void settle(int piece, bool staged);

    const FetchCounts &counts() const;

private:
    /// A piece that is sought.
    struct Search
    {
        int piece = 0;
        weights::PieceRole role = weights::PieceRole::Member;
        std::vector<weights::PieceSource> sources;
        std::size_t at = 0; ///< The source that is asked.
        bool lostBefore = false; ///< The source before could not be reached.
        bool answered = false; ///< Any source has answered.
    };

    /// A piece that a VM holds and that waits for room on our link.
    struct Transfer
    {
        Search search;
        std::string via; ///< A VM to which the source has pointed; empty for the source itself.
    };

    void fetchFrom(Search search);
    void endSearch(const Search &search);
    Millis ownerWait() const;

    /// Asks the origin when it is the piece's turn.
    void askOriginInTurn(int piece);
    void waitForOriginTurn();
    void transferNext();
    void noteUrgent();
    Transfer takeTransfer();
    void beginTransfer(Transfer next);
    void takeTransferred(Transfer done, const std::optional<peer::PieceMessage> &answer, Millis took);
    static std::string vmOf(const Transfer &transfer);
    void fetchNextFromOrigin();
    void fetchFromOrigin(int piece);
    void takePiece(int piece, std::string bytes, bool fromOrigin);
    void retryLater(int piece);

    asio::io_context &m_loop;
    net::HttpClient &m_client;
    PieceExchange &m_exchange;
    std::string m_self;
    LinkPace &m_pace;
    FetchOrder m_order;
    std::function<void(int piece, std::string bytes)> m_taken;
    Random m_random;
    FetchTask m_task;
    FetchCounts m_counts;
    std::uint64_t m_round = 0; ///< Counts beginnings; answers to an earlier one are ignored.
    std::set<int> m_fetching;
    std::map<int, int> m_rounds; ///< How often all sources of a piece were asked.
    Millis m_beganAt{0};
    std::deque<std::pair<Millis, int>> m_originTurns; ///< Times and pieces that this VM owns, in their order.
    net::Timer m_nextOrigin;
    std::map<int, Millis> m_notBefore; ///< When a piece that could not be had is tried again.
    std::deque<int> m_originQueue; ///< Pieces to take from the origin, one after another.
    bool m_originBusy = false;
    std::deque<Transfer> m_transfers;
    int m_transferring = 0;
    int m_window = 1; ///< Transfers that may be under way at once.
    std::set<std::string> m_transferringFrom;
    net::Timer m_nextTransfer;
};

} // namespace ibislock::side
