// Brings the wanted version of the weights to the engine: reads what is staged, fetches what is missing, reads all of
// it back just before the order, and orders the load when it is this VM's turn.

#pragma once

#include "engine_watch.h"
#include "ibislock/base/random.h"
#include "ibislock/serving/named_versions.h"
#include "ibislock/weights/piece_sources.h"
#include "piece_exchange.h"

#include <deque>
#include <set>

namespace ibislock::side
{

/// What the agent is to reach, and where it can look.
struct WeightsGoal
{
    std::string model;
    std::int64_t version = 0;
    serving::NamedVersions named; ///< All that have been named, with their times.
    Millis versionTime{0}; ///< From a naming until requests stop to begin on older versions.
    std::string origin; ///< IP:PORT; empty while unknown.
};

/// Where the agent stands.
enum class WeightsPhase {
    Idle, ///< Nothing to do, or nothing known to do.
    Manifest, ///< Asks for the list of pieces.
    Reading, ///< Reads the staged pieces.
    Fetching, ///< Asks for missing pieces.
    Waiting, ///< Has all pieces; not its turn yet.
    Verifying, ///< Reads all pieces back before the order.
    Ordered, ///< The engine loads.
};

/// External names of the phases.
inline constexpr NameTable<WeightsPhase, 7> WeightsPhaseNames{{
    {WeightsPhase::Idle, "idle"},
    {WeightsPhase::Manifest, "manifest"},
    {WeightsPhase::Reading, "reading"},
    {WeightsPhase::Fetching, "fetching"},
    {WeightsPhase::Waiting, "waiting"},
    {WeightsPhase::Verifying, "verifying"},
    {WeightsPhase::Ordered, "ordered"},
}};

/// What the agent has done.
struct WeightsCounts
{
    std::uint64_t fromOrigin = 0; ///< Pieces.
    std::uint64_t fromPeers = 0;
    std::uint64_t corrupt = 0;
    std::uint64_t orders = 0;
};

/// The agent.
class WeightsAgent
{
public:
    /// @param members gives the VMs that take part in spreading a version, as known now.
    WeightsAgent(asio::io_context &loop, net::HttpClient &client, EngineWatch &engine, std::string self,
                 std::string domain, std::uint16_t peerPort, Millis pieceTime,
                 std::function<std::vector<weights::SpreadMember>()> members);

    /// Begins to answer others.
    asio::error_code open();

    /// Sets what is to be reached.
    void setGoal(const WeightsGoal &goal);

    /// Goes on after a report of the engine or a change of the members.
    void step();

    /// Tells whether the engine takes no new requests because of a load of ours.
    bool isLoading() const;

    /// Until the engine is ordered to load; nothing while no load is planned.
    std::optional<Millis> loadsIn() const;

    /// Tells whether the agent needs to know the other VMs.
    bool needsMembers() const;

    WeightsPhase phase() const;
    const WeightsCounts &counts() const;
    std::uint64_t bytesServed() const;

private:
    void enter(WeightsPhase phase);
    void restart();
    void askManifest();
    void takeManifest(const std::vector<Digest> &digests);
    void askOriginForManifest();
    void readStage();
    void readNext(std::uint64_t round);
    void fetchMore();
    void fetchFrom(int piece, std::vector<weights::PieceSource> sources, std::size_t at);
    void fetchNextFromOrigin();
    void transferNext();
    void transfer(int piece, std::vector<weights::PieceSource> sources, std::size_t at);
    void fetchFromOrigin(int piece);
    void takePiece(int piece, std::string bytes, bool fromOrigin);
    void stage(int piece, std::string bytes);
    void retryLater(int piece);
    void order();
    void waitForTurn();
    double turnPart() const;
    void adoptNextGoal();
    bool goalReached() const;
    std::optional<bool> holdsForPeer(const peer::PieceMessage &ask) const;
    void readForPeer(const peer::PieceMessage &ask, const std::function<void(peer::PieceMessage)> &done);
    void callOrigin(const platform::ApiRequest &request, std::function<void(int status, std::string body)> done);

    asio::io_context &m_loop;
    net::HttpClient &m_client;
    EngineWatch &m_engine;
    std::string m_self;
    std::string m_domain;
    std::function<std::vector<weights::SpreadMember>()> m_members;
    PieceExchange m_exchange;
    asio::steady_timer m_retry;
    Random m_random;
    WeightsGoal m_goal;
    std::optional<WeightsGoal> m_nextGoal; ///< Named while the present one was whole and waited for its turn.
    Millis m_turnAt{0}; ///< When this VM loads.
    WeightsPhase m_phase = WeightsPhase::Idle;
    std::uint64_t m_round = 0; ///< Counts beginnings; answers to an earlier one are ignored.
    std::vector<Digest> m_digests; ///< Of the wanted version.
    std::set<int> m_staged; ///< Pieces that are staged and matched their digest.
    std::vector<weights::PiecePlan> m_plan;
    std::set<int> m_fetching;
    std::deque<int> m_originQueue; ///< Pieces to take from the origin, one after another.
    bool m_originBusy = false;

    /// A piece that a VM holds and that waits for room on our link.
    struct Transfer
    {
        int piece = 0;
        std::vector<weights::PieceSource> sources;
        std::size_t at = 0;
        std::string via; ///< A VM to which the source has pointed; empty for the source itself.
    };

    Transfer takeTransfer();
    void beginTransfer(Transfer next);
    static std::string vmOf(const Transfer &transfer);
    void takeTransferred(Transfer done, const std::optional<peer::PieceMessage> &answer, Millis took);

    Millis m_pieceTime; ///< Least time between the beginnings of two transfers, on average.
    Millis m_nextTransferAt{0};
    asio::steady_timer m_nextTransfer;
    std::deque<Transfer> m_transfers;
    int m_transferring = 0;
    int m_window = 1; ///< Transfers that may be under way at once.
    std::set<std::string> m_transferringFrom;
    std::map<int, Millis> m_notBefore; ///< When a piece that could not be had is tried again.
    int m_readIndex = 0;
    Millis m_enteredAt{0};
    Millis m_nextManifestAsk{0};
    bool m_manifestAsked = false;
    bool m_orderSent = false;
    bool m_orderAccepted = false;
    std::int64_t m_engineStart = 0;
    WeightsCounts m_counts;
};

} // namespace ibislock::side
