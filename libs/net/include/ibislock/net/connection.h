// A TCP connection on the event loop: bytes are handed over as they come, writes are queued, no call blocks.
//
//     auto connection = Connection::adopt(std::move(socket));
//     connection->start({.data = [](std::string_view bytes) {...}, .closed = [](ClosedBy by) {...}});
//     connection->write("...");

#pragma once

#include "ibislock/net/timer.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ibislock::net
{

/// How the peer ended a connection.
enum class CloseReason {
    PeerClosed, ///< The peer ended its side in order.
    Error, ///< A reset, or no sign of the peer.
};

/// What the owner of a connection is told. Nothing is called after `close` or after `closed`.
struct ConnectionEvents
{
    std::function<void(std::string_view)> data;
    std::function<void(CloseReason)> closed;
    std::function<void()> drained; ///< All that was written has been handed to the system; may be empty.
};

/// A connection.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    /// Takes over a connected socket and sets it to detect a silent peer.
    static std::shared_ptr<Connection> adopt(asio::ip::tcp::socket socket);

    ~Connection();

    /// Begins to read.
    void start(ConnectionEvents events);

    /// Replaces whom to tell.
    void setEvents(ConnectionEvents events);

    /// Queues bytes.
    void write(std::string_view bytes);

    /// Bytes that are queued and not yet handed to the system.
    std::size_t queuedBytes() const;

    /// Stops or goes on with reading; a peer that sends is then slowed down.
    void setReadingPaused(bool pause);

    /// Closes once all queued bytes have been handed to the system.
    void closeAfterWrites();

    /// Closes at once.
    void close();

    bool isOpen() const;

    /// The address of the peer; empty if the connection is closed.
    std::string peerIp() const;

private:
    explicit Connection(asio::ip::tcp::socket socket);
    void waitReadable();
    void readSome();
    void writeSome();
    void fail(CloseReason by);

    asio::ip::tcp::socket m_socket;
    ConnectionEvents m_events;
    std::string m_out;
    std::size_t m_outAt = 0;
    bool m_reading = false;
    bool m_paused = false;
    bool m_writing = false;
    bool m_closing = false;
    bool m_started = false;
};

/// Accepts connections on an address until it is destroyed.
class Listener
{
public:
    /// @param accepted is given each new connection.
    Listener(asio::io_context &loop, std::function<void(std::shared_ptr<Connection>)> accepted);

    /// Begins to listen.
    /// @return nothing, or what failed.
    asio::error_code open(const std::string &ip, std::uint16_t port);

    /// The port that is listened on.
    std::uint16_t port() const;

    /// Stops listening.
    void close();

private:
    void acceptNext();

    asio::ip::tcp::acceptor m_acceptor;
    Timer m_pause;
    std::function<void(std::shared_ptr<Connection>)> m_accepted;
};

} // namespace ibislock::net
