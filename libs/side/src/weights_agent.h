// Brings the desired version of the weights to the engine: verifies the staged pieces, fetches the missing ones,
// verifies all pieces again right before the load, and orders the load at the time of the rollout schedule. An engine
// that may have accepted an order long after that gets no requests until the pieces were verified once more. If a newer
// version is announced when VMs hold much of the desired one, that one is finished while the newer one is prefetched
// into memory.

#pragma once

#include "desired_weights.h"
#include "engine_monitor.h"
#include "ibislock/weights/stage_checks.h"
#include "weights_prefetch.h"

#include <set>

namespace ibislock::side
{

/// The phase of the agent.
enum class WeightsPhase {
    Idle, ///< The desired version is loaded, or none is known.
    Manifest, ///< Fetches the manifest.
    Reading, ///< Reads and verifies the staged pieces.
    Fetching, ///< Fetches the missing pieces.
    Waiting, ///< All pieces are staged; waits for its time in the rollout schedule.
    Verifying, ///< Reads and verifies all pieces again before the order.
    Ordered, ///< The engine is ordered to load.
    Rechecking, ///< The engine may have accepted the order late; reads and verifies all pieces once more.
};

/// External names of the phases.
inline constexpr NameTable<WeightsPhase, 8> WeightsPhaseNames{{
    {WeightsPhase::Idle, "idle"},
    {WeightsPhase::Manifest, "manifest"},
    {WeightsPhase::Reading, "reading"},
    {WeightsPhase::Fetching, "fetching"},
    {WeightsPhase::Waiting, "waiting"},
    {WeightsPhase::Verifying, "verifying"},
    {WeightsPhase::Ordered, "ordered"},
    {WeightsPhase::Rechecking, "rechecking"},
}};

/// The progress towards the desired version.
struct WeightsProgress
{
    std::int64_t version = 0; ///< Desired version; 0 while unknown.
    WeightsPhase phase = WeightsPhase::Idle;
    std::size_t staged = 0; ///< Staged pieces.
    std::size_t pieces = 0; ///< Pieces of the version; 0 while the manifest is unknown.
    std::size_t prefetched = 0; ///< Prefetched pieces of the next version.
};

/// Counters of the agent.
struct WeightsCounts
{
    FetchCounts fetched;
    std::uint64_t corruptStaged = 0; ///< Staged pieces that no longer matched their digest.
    std::uint64_t loadOrders = 0; ///< Load orders that were sent to the engine.
    std::uint64_t unansweredWrites = 0; ///< Writes to the stage without a response; they may take effect later.
    std::uint64_t staleChecks = 0; ///< Loads that were not ordered because a check was too old.
    Millis oldestCheckAge{0}; ///< Longest time between the check of a piece and the response to the load order.
};

/// Manages the weights of one engine.
class WeightsAgent
{
public:
    /// @param self, domain the address and failure domain of this VM.
    /// @param peerPort the port on which all VMs serve pieces.
    /// @param pieceInterval least time between two pieces that are received, and between two that are sent, so that the
    /// link has room for inference requests.
    /// @param limits of what other VMs may take up.
    /// @param members returns the other VMs that take part in the distribution.
    WeightsAgent(asio::io_context &loop, net::HttpClient &client, EngineMonitor &engine, std::string self,
                 std::string domain, std::uint16_t peerPort, Millis pieceInterval, const PieceServerLimits &limits,
                 DistributionMembers members);

    /// Starts to serve pieces to other VMs.
    asio::error_code open();

    /// Sets the desired version.
    void setDesired(const DesiredWeights &desired);

    /// Advances the state machine after a report of the engine or a change of the members.
    void step();

    /// Returns whether the engine must get no new requests: this agent loads weights, or can't rule out that the loaded
    /// ones are corrupt.
    bool isLoading() const;

    /// Returns the time until the engine is ordered to load; nothing if no load is scheduled.
    std::optional<Millis> timeUntilLoad() const;

    /// Returns whether the agent needs to know the other VMs in its present phase.
    bool needsMembers() const;

    WeightsProgress progress() const;
    WeightsCounts counts() const;
    std::uint64_t bytesServed() const;

private:
    /// Records the current phase and when it began, and logs a change; the caller starts the work of the phase.
    void enterPhase(WeightsPhase phase);
    void restart();
    void applyManifest(std::vector<Digest> digests);
    void readStage();
    void readMorePieces();
    void handlePieceRead(int piece, Millis requestedAt, int status, const std::string &body);
    void finishReading();
    void finishRechecking();
    void beginFetching();

    /// Fetches the manifest from the origin, as pieces keep differing from the one in use, and replaces it if it is
    /// another one.
    void verifyManifest();
    void replaceManifest(std::vector<Digest> digests);

    /// Records that a staged piece is missing or corrupt.
    /// @param reader for whom the piece was read; appears in the log.
    void recordMismatch(int piece, int status, const std::string &reader);
    void stagePrefetched();
    void recordWrite(std::uint64_t write, std::int64_t version, int piece, int status);
    void retryStaging();
    void keepUnstaged();
    void fetchMore();
    void stage(int piece, std::string bytes);
    void orderLoad();
    void sendOrder();
    void verifyAgain();

    /// A load order that was sent.
    struct SentOrder
    {
        Millis sentAt{0};
        std::int64_t ordersBefore = 0;
        weights::StageChecks checks; ///< When it was sent; a piece may be found corrupt later.
    };

    void handleOrderResponse(const SentOrder &order, net::ExchangeOutcome outcome, int status, const std::string &body);
    void logOrder(const SentOrder &order, net::ExchangeOutcome outcome, int status, const std::string &body);

    /// Records that the engine has accepted an order of which this agent doesn't know when.
    void recheckLoad();

    /// Follows an order without a response until the engine's report shows its effect, or it can't be pending any more.
    void updatePendingOrder(Millis now);
    void scheduleLoad();
    double rolloutFraction() const;
    void setNextDesired(const DesiredWeights &desired);
    void adoptNextDesired();
    bool hasAllPieces() const;
    bool isWorthFinishing(const DesiredWeights &next) const;

    /// Returns when no request could start any more on the version that is being fetched.
    Millis uselessAt(const DesiredWeights &next) const;
    bool isOutdated() const;

    /// Returns whether the stage must keep its content, as the engine may accept an order late or has done so.
    bool isStageFixed() const;

    /// Returns whether no write to the stage can take effect any more.
    bool areWritesSettled(Millis now);
    bool isDesiredLoaded() const;

    /// Returns whether the engine has responded for long enough without showing the order in its report.
    bool isOrderIneffective(Millis now) const;

    /// Returns which pieces of a version this VM can send to others; empty while that isn't known.
    std::vector<bool> heldPieces(std::int64_t version) const;

    /// Passes on what another VM holds to the fetcher of that version.
    void recordPeerHoldings(const peer::PieceMessage &request);

    /// Returns whether a piece or manifest is held; nothing if it won't be fetched any more.
    std::optional<bool> findForPeer(const peer::PieceMessage &request) const;
    std::optional<bool> holdsForPeer(const peer::PieceMessage &request) const;
    void readForPeer(const peer::PieceMessage &request, const std::function<void(peer::PieceMessage)> &done);

    EngineMonitor &m_engine;
    std::string m_self;
    std::string m_domain;
    DistributionMembers m_members;
    LinkPacing m_pacing;
    PieceExchange m_exchange;
    net::Timer m_orderTimer; ///< Delays the order until entry VMs know that the engine accepts no more requests.
    ManifestFetcher m_manifestFetcher;
    PieceFetcher m_pieceFetcher;
    WeightsPrefetch m_prefetch; ///< Of `m_nextDesired`.
    PrefetchedPieces m_prefetched; ///< Pieces of `m_desired` that are in memory and to be staged.
    DesiredWeights m_desired;
    std::optional<DesiredWeights> m_nextDesired; ///< Announced when all or many pieces of `m_desired` were staged.
    Millis m_loadAt{0}; ///< When this VM orders the load.
    WeightsPhase m_phase = WeightsPhase::Idle;
    std::uint64_t m_generation = 0; ///< Incremented on each restart; responses of an earlier generation are ignored.
    std::vector<Digest> m_digests; ///< Of the pieces of `m_desired`.
    std::vector<Digest> m_correctDigests; ///< That replace `m_digests` once no order is pending; empty for none.
    std::set<int> m_staged; ///< Staged pieces that matched their digest.
    weights::StageChecks m_checks; ///< Of the latest verification.
    std::map<int, std::shared_ptr<const std::string>> m_beingStaged; ///< Verified pieces without a response so far.
    std::map<int, std::string> m_unstaged; ///< Verified pieces that could not be staged.
    Millis m_stageRetryAt{0}; ///< When staging `m_unstaged` is retried.
    int m_nextReadIndex = 0;
    int m_activeReads = 0;
    Millis m_readTime{0}; ///< How long the latest read of a staged piece took.
    Millis m_phaseEnteredAt{0};
    bool m_orderSent = false;
    bool m_orderAccepted = false;
    int m_staleVerifications = 0; ///< Verifications in a row that took too long to order a load.
    bool m_recheckMismatch = false; ///< A piece didn't match its digest after the order.
    bool m_loadUnproven = false; ///< The engine may have loaded a piece that had been corrupt for too long.
    std::int64_t m_engineStart = 0;

    /// An order without a response, which may take effect later.
    struct PendingOrder
    {
        std::int64_t ordersBefore = 0; ///< It takes effect only while the engine has started this number of orders.
        Millis since{0};
    };

    std::optional<PendingOrder> m_pendingOrder;

    /// A write to the stage whose effect isn't known.
    struct StageWrite
    {
        std::int64_t version = 0;
        bool isActive = true; ///< The response may still arrive.
        Millis unansweredSince{0}; ///< When it ended without a response.
    };

    std::uint64_t m_nextWrite = 0;
    std::map<std::uint64_t, StageWrite> m_writes;
    std::uint64_t m_corruptStaged = 0;
    std::uint64_t m_loadOrders = 0;
    std::uint64_t m_unansweredWrites = 0;
    std::uint64_t m_staleChecks = 0;
    Millis m_oldestCheckAge{0};
};

} // namespace ibislock::side
