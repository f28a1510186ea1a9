// Asks other target VMs for pieces and answers theirs, over one kept connection for each VM asked.

#pragma once

#include "ibislock/net/connection.h"
#include "ibislock/net/timer.h"
#include "ibislock/peer/messages.h"

#include <map>
#include <optional>

namespace ibislock::side
{

/// Where served pieces come from.
struct PieceStore
{
    /// Tells whether a piece is held, or will be soon; nothing if it will not.
    std::function<std::optional<bool>(const peer::PieceMessage &ask)> holds;

    /// Reads a piece; `done` is given the message to send.
    std::function<void(const peer::PieceMessage &ask, std::function<void(peer::PieceMessage)> done)> read;
};

/// The answer to an ask; nothing if the VM didn't answer in time, or its connection broke.
using PieceAnswer = std::function<void(std::optional<peer::PieceMessage>)>;

/// Pieces between target VMs.
class PieceExchange
{
public:
    /// @param pieceTime least time between two pieces that are sent, so that requests find room on the VM's link.
    PieceExchange(asio::io_context &loop, std::uint16_t port, Millis pieceTime, PieceStore store);

    ~PieceExchange();
    PieceExchange(const PieceExchange &) = delete;
    PieceExchange &operator=(const PieceExchange &) = delete;

    /// Begins to answer others.
    asio::error_code open(const std::string &ip);

    /// Asks a VM for a piece.
    /// @param time how long to wait for the answer.
    void ask(const std::string &vm, peer::PieceMessage ask, Millis time, PieceAnswer done);

    /// Looks again which waiting asks can be answered now.
    void answerWaiting();

    /// Bytes of pieces that were sent to others.
    std::uint64_t bytesServed() const;

private:
    /// An ask of ours.
    struct Pending
    {
        peer::PieceMessage ask;
        Millis until{0};
        PieceAnswer done;
    };

    /// A VM that we ask.
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

    /// An ask of another VM.
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
    /// What is done about an ask of another VM.
    enum class Verdict {
        Wait, ///< It is looked at again.
        Missing, ///< The piece will not be held in time.
        Ready, ///< The asker is told that the piece is held.
        Elsewhere, ///< The asker is sent to a VM that got the piece before.
        Send,
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

    /// A piece that was sent.
    struct Sent
    {
        std::string vm;
        Millis at{0};
    };

    std::map<int, std::vector<Sent>> m_sent; ///< By piece, of the version that is spread now.
    std::int64_t m_sentVersion = 0;
    int m_reading = 0; ///< Asks of others that are being read.
    net::Timer m_nextPiece;
    std::uint64_t m_bytesServed = 0;
};

} // namespace ibislock::side
