// A stand-in for an engine with its stage, and for the origin of weights, on loopback addresses.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/http/reader.h"
#include "ibislock/net/connection.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ibislock::lab
{

/// A version of weights: its pieces are made from their numbers.
struct WeightsStandIn
{
    std::string model = "m";
    std::int64_t version = 1;
    int pieces = 8;
};

/// The bytes of a piece.
std::string pieceBytes(const WeightsStandIn &weights, int piece);

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
    bool away = false; ///< Answers 503.
    Millis delay{0}; ///< Until a piece is sent.

private:
    asio::io_context &m_loop;
    std::string m_ip;
    std::vector<std::shared_ptr<net::Connection>> m_connections;
    net::Listener m_listener;
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

    std::int64_t version = 0; ///< That is loaded; 0 for none.
    std::int64_t startedAt = 1;
    int orders = 0;
    int refusedOrders = 0;
    int served = 0; ///< Requests that were run.
    Millis orderDelay{0}; ///< Orders get no answer and are accepted this late.
    Millis readDelay{0}; ///< Until the bytes of a staged piece, as they were when they were requested, are sent.
    int stageReads = 0; ///< Reads of staged pieces since the last write to the stage.
    bool holdsWrites = false; ///< Writes to the stage get no answer and take effect with applyHeldWrites().
    bool holdsOrders = false; ///< Orders get no answer and take effect with applyHeldOrders().
    std::function<void()> onAccepted; ///< Called when an order is accepted, before its load begins.
    int delayedOrders = 0; ///< That came while there was such a delay.
    bool away = false; ///< Closes connections without an answer.
    bool loadedSpoilt = false; ///< A load began while a staged piece was not what it should be.
    WeightsStandIn expected; ///< What the engine checks a load against, except for its version.
    std::map<int, std::string> staged;

private:
    void answer(net::Connection &connection, const http::RequestHead &request, const std::string &body);
    void serve(net::Connection &connection, const http::RequestHead &request);
    void order(net::Connection &connection, const std::string &body);
    int acceptOrder(const std::string &body);
    void readPiece(net::Connection &connection, int piece);

    asio::io_context &m_loop;
    std::vector<std::shared_ptr<net::Connection>> m_connections;
    net::Listener m_listener;
    asio::steady_timer m_load;
    std::map<int, std::string> m_heldWrites;
    std::vector<std::string> m_heldOrders;
    bool m_loading = false;
};

} // namespace ibislock::lab
