// A stand-in for an engine with its stage, and for the origin of weights, on loopback addresses.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/http/reader.h"
#include "ibislock/net/connection.h"
#include "platform/staged_pieces.h"

#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ibislock::lab
{

/// Serves manifests and pieces of the newest weights and of the version before.
class OriginStandIn
{
public:
    OriginStandIn(asio::io_context &loop, const std::string &ip);

    ~OriginStandIn();
    OriginStandIn(const OriginStandIn &) = delete;
    OriginStandIn &operator=(const OriginStandIn &) = delete;

    std::string address() const;

    WeightsStandIn weights;
    int piecesServed = 0;
    int manifestsServed = 0;
    int spoilt = 0; ///< Pieces that are still to be sent with wrong bytes.
    int wrongManifests = 0; ///< Manifests that are still to be sent with a wrong digest, another one each time.
    int shortManifests = 0; ///< Manifests that are still to be sent without their last digest.
    bool away = false; ///< Answers 503.
    int refused = 0; ///< Requests that were answered with 503.
    Millis delay{0}; ///< Until a piece is sent.

private:
    asio::io_context &m_loop;
    std::string m_ip;
    std::vector<std::shared_ptr<net::Connection>> m_connections;
    net::Listener m_listener;
};

/// A moment in the stage of an engine.
enum class StageEvent {
    VerificationBegins,
    VerificationEnds, ///< The last read was served.
    OrderArrives,
};

/// What came of the orders of an engine.
struct LoadCounts
{
    int loads = 0;
    int badInTime = 0; ///< Loads with pieces that had turned bad, all of them within the time that is allowed.
    int violating = 0; ///< Loads whose weights must not be used.
    int servedViolating = 0; ///< Requests that were run with such weights.
};

/// An engine with its stage.
class EngineStandIn
{
public:
    EngineStandIn(asio::io_context &loop, const std::string &ip, std::uint16_t port);

    ~EngineStandIn();
    EngineStandIn(const EngineStandIn &) = delete;
    EngineStandIn &operator=(const EngineStandIn &) = delete;

    std::uint16_t port() const;

    /// Applies the writes that were held.
    void applyHeldWrites();

    /// Applies the orders that were held.
    void applyHeldOrders();

    /// Tells whether each staged piece is that of some weights.
    bool holdsWhole(const WeightsStandIn &weights) const;

    /// Turns staged pieces bad.
    void turnBad(const std::vector<int> &pieces);

    /// Starts the engine again: nothing is loaded or staged.
    void restart();

    /// Gives no answers for a time; then answers all that waited, in order.
    void freeze(Millis length);

    /// Returns the pieces that the verification under way has read.
    std::vector<int> verifiedPieces() const;

    const LoadCounts &loadCounts() const;

    std::int64_t version = 0; ///< That is loaded; 0 for none.
    std::int64_t startedAt = 1;
    int orders = 0;
    int refusedOrders = 0;
    int served = 0; ///< Requests that were run.
    int running = 0; ///< Requests that it reports as running.
    Millis orderDelay{0}; ///< Orders get no answer and are accepted this late.
    Millis readDelay{0}; ///< Until the bytes of a staged piece, as they were when they were requested, are sent.
    bool endlessReads = false; ///< Reads of staged pieces get a body without end.
    std::size_t endlessBytes = 0; ///< Sent so far in such bodies.
    int endlessResponses = 0; ///< How many such bodies were begun.
    int stageReads = 0; ///< Reads of staged pieces since the last write to the stage.
    bool holdsWrites = false; ///< Writes to the stage get no answer and take effect with applyHeldWrites().
    bool holdsOrders = false; ///< Orders get no answer and take effect with applyHeldOrders().
    std::function<void()> onAccepted; ///< Called when an order is accepted, before its load begins.
    int delayedOrders = 0; ///< That came while there was such a delay.
    std::function<void(StageEvent)> onStage; ///< Is called at each such moment.
    bool away = false; ///< Closes connections without an answer.
    bool loadedSpoilt = false; ///< A load began while a staged piece was not what it should be.
    WeightsStandIn expected; ///< What the engine checks a load against; the order names the version.
    std::map<int, std::string> staged; ///< As written; pieces may have turned bad since.

private:
    void answer(net::Connection &connection, const http::RequestHead &request, const std::string &body);
    void handle(net::Connection &connection, const http::RequestHead &request, const std::string &body);
    void readStage(net::Connection &connection, int piece);
    void writeForever(const std::shared_ptr<net::Connection> &connection);
    void emitStage(StageEvent event);
    void serve(net::Connection &connection, const http::RequestHead &request);
    void order(net::Connection &connection, const std::string &body);
    int acceptOrder(const std::string &body);

    asio::io_context &m_loop;
    std::vector<std::shared_ptr<net::Connection>> m_connections;
    net::Listener m_listener;
    asio::steady_timer m_load;
    std::map<int, std::string> m_heldWrites;
    std::vector<std::string> m_heldOrders;
    asio::steady_timer m_thaw;
    bool m_loading = false;
    bool m_frozen = false;
    bool m_usable = true; ///< The loaded weights may be used.
    std::deque<std::function<void()>> m_waiting; ///< Came while the engine gave no answers.
    BadPieces m_bad;
    VerificationWatch m_verification;
    LoadCounts m_counts;
};

} // namespace ibislock::lab
