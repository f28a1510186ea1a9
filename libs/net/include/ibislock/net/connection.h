// Non-blocking TCP connections and a listener for the event loop. Received bytes are delivered to a callback as they
// arrive; writes are queued.
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

/// Why a connection was closed without a call to `close`.
enum class CloseReason {
    PeerClosed, ///< The peer closed its side (end of file).
    Error, ///< The connection was reset, or the peer stopped responding.
};

/// Callbacks of a connection. None is called after `close` or after `closed`.
struct ConnectionEvents
{
    std::function<void(std::string_view)> data;
    std::function<void(CloseReason)> closed;
    std::function<void()> drained; ///< The write queue is empty; optional.
};

/// How long a peer may go on sending while a connection is closed.
inline constexpr Millis MaxDiscardTime{10000};

/// Number of bytes that a peer may send while a connection is closed.
inline constexpr std::size_t MaxDiscardBytes = 16U << 20U;

/// Limits of a graceful close, after which the connection is closed immediately.
struct DiscardLimits
{
    Millis time = MaxDiscardTime;
    std::size_t bytes = MaxDiscardBytes;
};

/// A TCP connection with a write queue.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    /// Takes ownership of a connected socket and enables the detection of a dead peer on it.
    static std::shared_ptr<Connection> adopt(asio::ip::tcp::socket socket);

    ~Connection();

    /// Sets the callbacks and starts reading.
    void start(ConnectionEvents events);

    /// Replaces the callbacks.
    void setEvents(ConnectionEvents events);

    /// Writes bytes, and queues what the socket doesn't accept at once.
    void write(std::string_view bytes);

    /// Writes bytes as `write` does, and queues them without a copy if nothing is queued.
    void writeOwned(std::string bytes);

    /// Returns the number of queued bytes that haven't been written to the socket yet.
    std::size_t queuedBytes() const;

    /// Returns for how long the peer has accepted no queued byte; zero if none are queued.
    /// @param now time of the steady clock.
    Millis stalledFor(Millis now) const;

    /// Returns whether bytes have arrived that haven't been delivered yet, e.g. because the loop is late.
    bool hasUnreadBytes() const;

    /// Returns whether the peer has closed or reset the connection, also while its end hasn't been read yet: reading is
    /// paused, the loop is late, or bytes come before it.
    bool hasPeerClosed();

    /// Pauses or resumes reading. While it is paused, TCP flow control slows the sending peer down.
    void setReadingPaused(bool pause);

    /// Limits how many bytes are read at a time.
    /// @param bytes 64 KB at most, which is the default.
    void limitReads(std::size_t bytes);

    /// Closes the connection once all queued bytes have been written to the socket.
    void closeAfterWrites();

    /// Closes the connection once all queued bytes have been written and the peer has closed its side. Until then bytes
    /// from the peer are read and discarded: closing with unread bytes resets the connection, and the peer may lose
    /// what was written last. No callback is called any more, and the connection keeps itself alive until it is closed.
    /// @param loop that of the connection.
    void closeGracefully(asio::io_context &loop, const DiscardLimits &limits = {});

    /// Closes the connection immediately and discards queued bytes. What the socket has accepted is still sent.
    void close();

    /// Closes the connection immediately. The system sends none of the bytes that the peer hasn't received yet, and
    /// repeats none; the peer sees a reset if there are any, and the end of the connection otherwise.
    void abort();

    bool isOpen() const;

    /// Returns the IP address of the peer; empty if the connection is closed.
    std::string peerIp() const;

private:
    explicit Connection(asio::ip::tcp::socket socket);
    void waitReadable();
    void readSome();
    void writeSome();
    void discard(std::size_t bytes);
    void shutdownSending();
    void fail(CloseReason by);

    asio::ip::tcp::socket m_socket;
    ConnectionEvents m_events;
    std::string m_writeBuffer;
    std::size_t m_writeOffset = 0;
    Millis m_acceptedAt{0}; ///< When the queue began, or the socket last accepted bytes of it; by the steady clock.
    std::unique_ptr<Timer> m_discardTimer; ///< Set by a graceful close.
    std::size_t m_discardBytesLeft = 0;
    bool m_reading = false;
    std::size_t m_readLimit = SIZE_MAX; ///< Bytes that are read at a time.
    bool m_paused = false;
    bool m_writing = false;
    bool m_closeAfterWrites = false;
    bool m_started = false;
};

/// How connections are accepted.
struct ListenerOptions
{
    std::function<bool()> admits; ///< Called before each accept; if it returns false, new connections wait. Optional.
    int receiveBuffer = 0; ///< Receive buffer of each connection in bytes; 0 leaves it to the system.
    int sendBuffer = 0; ///< Send buffer of each connection in bytes; 0 leaves it to the system.
};

/// Accepts connections on an address until it is closed or destroyed.
class Listener
{
public:
    /// @param loop outlives the listener.
    /// @param accepted called with each new connection.
    Listener(asio::io_context &loop, std::function<void(std::shared_ptr<Connection>)> accepted,
             ListenerOptions options = {});

    /// Starts listening.
    /// @param ip IPv4 address.
    /// @param port 0 lets the system choose a port.
    /// @return no error, or the error of the step that failed.
    asio::error_code open(const std::string &ip, std::uint16_t port);

    /// Returns the port that the listener is bound to; 0 if it isn't open.
    std::uint16_t port() const;

    /// Stops listening.
    void close();

private:
    void acceptNext();
    void acceptPending();

    asio::ip::tcp::acceptor m_acceptor;
    Timer m_retryTimer;
    std::function<void(std::shared_ptr<Connection>)> m_accepted;
    ListenerOptions m_options;
};

} // namespace ibislock::net
