// Brings the wanted version of the weights to the engine: reads what is staged, fetches what is missing, reads all of
// it back just before the order, and orders the load when it is this VM's turn. A version that is overtaken on its way
// is finished if much of it is here, while the newer one is fetched into memory.

#pragma once

#include "ahead_copy.h"
#include "engine_watch.h"
#include "weights_goal.h"

#include <set>

namespace ibislock::side
{

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

/// How far the agent is.
struct WeightsProgress
{
    std::int64_t version = 0; ///< To be reached; 0 while none is known.
    WeightsPhase phase = WeightsPhase::Idle;
    std::size_t staged = 0; ///< Pieces.
    std::size_t pieces = 0; ///< Of the version; 0 while the manifest is not known.
    std::size_t ahead = 0; ///< Pieces of the next version in memory.
};

/// What the agent has done.
struct WeightsCounts
{
    FetchCounts fetched;
    std::uint64_t rotten = 0; ///< Staged pieces that no longer matched their digest.
    std::uint64_t orders = 0;
};

/// The agent.
class WeightsAgent
{
public:
    /// @param pieceTime least time between two pieces that are taken or sent, so that requests find room on the link.
    WeightsAgent(asio::io_context &loop, net::HttpClient &client, EngineWatch &engine, std::string self,
                 std::string domain, std::uint16_t peerPort, Millis pieceTime, SpreadMembers members);

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

    WeightsProgress progress() const;
    WeightsCounts counts() const;
    std::uint64_t bytesServed() const;

private:
    void enter(WeightsPhase phase);
    void restart();
    void takeManifest(std::vector<Digest> digests);
    void readStage();
    void readNext(std::uint64_t round);
    void endReading();
    void stageCarried();
    void stageAgain();
    void carryUnstaged();
    void fetchMore();
    void stage(int piece, std::string bytes);
    void order();
    void waitForTurn();
    double turnPart() const;
    void setNextGoal(const WeightsGoal &goal);
    void adoptNextGoal();
    bool isWhole() const;
    bool isWorthFinishing() const;
    bool isOutdated() const;
    bool goalReached() const;

    /// Tells whether the engine has answered for long enough without a sign of the order.
    bool isOrderWithoutEffect(Millis now) const;
    std::optional<bool> holdsForPeer(const peer::PieceMessage &ask) const;
    void readForPeer(const peer::PieceMessage &ask, const std::function<void(peer::PieceMessage)> &done);

    EngineWatch &m_engine;
    std::string m_self;
    std::string m_domain;
    SpreadMembers m_members;
    LinkPace m_pace;
    PieceExchange m_exchange;
    net::Timer m_announcement; ///< Between the news that the engine takes no more requests and the order to load.
    ManifestSeeker m_seeker;
    PieceFetcher m_fetcher;
    AheadCopy m_ahead; ///< Of the next goal.
    AheadPieces m_carried; ///< What was fetched ahead of the present goal and is not staged yet.
    WeightsGoal m_goal;
    std::optional<WeightsGoal> m_nextGoal; ///< Named while the present one was whole, or much of it was here.
    Millis m_turnAt{0}; ///< When this VM loads.
    WeightsPhase m_phase = WeightsPhase::Idle;
    std::uint64_t m_round = 0; ///< Counts beginnings; answers to an earlier one are ignored.
    std::vector<Digest> m_digests; ///< Of the wanted version.
    std::set<int> m_staged; ///< Pieces that are staged and matched their digest.
    std::map<int, std::string> m_unstaged; ///< Pieces that the engine did not take; checked against their digests.
    Millis m_nextStaging{0}; ///< When it is asked again.
    int m_readIndex = 0;
    Millis m_enteredAt{0};
    bool m_orderSent = false;
    bool m_orderAccepted = false;
    std::int64_t m_engineStart = 0;
    std::uint64_t m_rotten = 0;
    std::uint64_t m_orders = 0;
};

} // namespace ibislock::side
