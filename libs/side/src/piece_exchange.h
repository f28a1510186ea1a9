// Exchanges pieces of weights with other target VMs: sends requests over one persistent connection to each VM, and
// serves the requests of other VMs. A request may be a long poll that waits until the piece is held.

#pragma once

#include "ibislock/net/connection.h"
#include "ibislock/net/timer.h"
#include "ibislock/peer/messages.h"

#include <map>
#include <optional>

namespace ibislock::side
{

/// Access to the pieces that are served to other VMs.
struct PieceStore
{
    /// Returns true if a piece is held, false if it may be held later, and nothing if it won't be fetched any more.
    std::function<std::optional<bool>(const peer::PieceMessage &ask)> holds;

    /// Reads a piece; `done` receives the message to send.
    std::function<void(const peer::PieceMessage &ask, std::function<void(peer::PieceMessage)> done)> read;
};

/// Receives the response to a request; nothing if the VM didn't respond in time or the connection failed.
using PieceAnswer = std::function<void(std::optional<peer::PieceMessage>)>;

/// Client and server for pieces.
class PieceExchange
{
public:
    /// @param pieceInterval least time between two pieces that are sent, so that the VM's link has room for inference
    /// requests.
    PieceExchange(asio::io_context &loop, std::uint16_t port, Millis pieceTime, PieceStore store);

    ~PieceExchange();
    PieceExchange(const PieceExchange &) = delete;
    PieceExchange &operator=(const PieceExchange &) = delete;

    /// Starts to serve the requests of other VMs.
    asio::error_code open(const std::string &ip);

    /// Requests a piece from a VM.
    /// @param timeout how long to wait for the response.
    void ask(const std::string &vm, peer::PieceMessage ask, Millis time, PieceAnswer done);

    /// Responds to the pending requests of other VMs that are ready now.
    void answerWaiting();

    /// Returns the number of piece bytes that were sent to other VMs.
    std::uint64_t bytesServed() const;

private:
    /// A request of this VM to another one.
    struct Pending
    {
        peer::PieceMessage ask;
        Millis until{0};
        PieceAnswer done;
    };

    /// The connection to a VM to which this VM sends requests.
    struct Asked
    {
        std::shared_ptr<net::Connection> connection;
        std::shared_ptr<asio::ip::tcp::socket> connecting;
        std::shared_ptr<peer::PieceReader> reader;
        std::vector<Pending> pending;
        std::string unsent;
        Millis lastBytesAt{0};
        Millis connectUntil{0};
    };

    /// A request of another VM that has no response so far.
    struct Waiting
    {
        std::weak_ptr<net::Connection> connection;
        peer::PieceMessage ask;
        Millis since{0};
        Millis until{0};
    };

    void connect(const std::string &vm);
    void onAnswer(const std::string &vm, std::string_view bytes);
    void failAll(const std::string &vm);
    void serve(const std::shared_ptr<net::Connection> &connection);
    void takeAsk(const std::shared_ptr<net::Connection> &connection, peer::PieceMessage ask);

    /// What to do about a pending request of another VM.
    enum class Verdict {
        Wait, ///< Keep it pending.
        Missing, ///< Respond that the piece isn't held within the request's time limit.
        Ready, ///< Respond that the piece is held.
        Elsewhere, ///< Redirect the requesting VM to a VM that has received the piece.
        Send, ///< Respond with the piece.
    };

    Verdict verdictOn(const Waiting &item, const net::Connection &connection, Millis now) const;
    void sendPiece(const Waiting &item, const net::Connection &connection, Millis now);
    void noteSent(const Waiting &item, const net::Connection &connection, Millis now);
    std::string elsewhere(const Waiting &item, Millis now) const;
    void tick();

    asio::io_context &m_loop;
    std::uint16_t m_port;
    Millis m_pieceTime;
    Millis m_nextPieceAt{0};
    PieceStore m_store;
    net::Listener m_listener;
    net::Timer m_tick;
    std::map<std::string, Asked> m_asked;
    std::vector<Waiting> m_waiting;
    std::map<const net::Connection *, std::shared_ptr<net::Connection>> m_served;

    /// A VM to which a piece was sent.
    struct Sent
    {
        std::string vm;
        Millis at{0};
    };

    std::map<int, std::vector<Sent>> m_sent; ///< By piece index, of `m_sentVersion`.
    std::int64_t m_sentVersion = 0;
    int m_reading = 0; ///< Pieces that are being read for other VMs.
    net::Timer m_nextPiece;
    std::uint64_t m_bytesServed = 0;
};

} // namespace ibislock::side
