#include "ibislock/net/connection.h"

#include <algorithm>
#include <array>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace ibislock::net
{

namespace
{

/// Size of the read buffer, which all connections of the process share.
constexpr std::size_t ReadBytes = 65536;

/// Idle seconds before the first keepalive probe, and between probes; the shortest interval that the system accepts.
constexpr int ProbeSeconds = 1;

/// Unanswered probes after which the peer is considered dead; one probe may get lost in the network.
constexpr int Probes = 2;

/// How long written bytes may stay unacknowledged; as long as the keepalive probes take.
constexpr unsigned UnacknowledgedMs = 3000;

/// Length of the accept queue; a burst of callers opens hundreds of connections at once.
constexpr int Backlog = 1024;

/// Delay after a failed accept, during which other connections may end and free their descriptors.
constexpr Millis AcceptPause{50};

/// Connections that are accepted before other handlers have their turn.
constexpr int AcceptsInTurn = 32;

/// Bytes of the write queue that may have been written already before they are dropped from its front.
constexpr std::size_t WrittenBytesKept = 64 * 1024;

void setOption(int socket, int level, int name, int value)
{
    // Without one of these options the connection still works, but a dead peer is detected later.
    static_cast<void>(setsockopt(socket, level, name, &value, sizeof value));
}

void detectSilentPeer(asio::ip::tcp::socket &socket)
{
    const int fd = socket.native_handle();
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, ProbeSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, ProbeSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, Probes);
    setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(UnacknowledgedMs));
}

std::array<char, ReadBytes> &readBuffer()
{
    static std::array<char, ReadBytes> buffer;
    return buffer;
}

} // namespace

Connection::Connection(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
{
}

Connection::~Connection() = default;

std::shared_ptr<Connection> Connection::adopt(asio::ip::tcp::socket socket)
{
    asio::error_code ec;
    socket.non_blocking(true, ec);
    detectSilentPeer(socket);
    return std::shared_ptr<Connection>(new Connection(std::move(socket)));
}

void Connection::start(ConnectionEvents events)
{
    m_events = std::move(events);
    m_started = true;
    waitReadable();
}

void Connection::setEvents(ConnectionEvents events)
{
    m_events = std::move(events);
}

void Connection::waitReadable()
{
    if (m_reading || m_paused || !m_started || !m_socket.is_open()) {
        return;
    }
    m_reading = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code &ec) {
        self->m_reading = false;
        if (!self->m_socket.is_open() || self->m_paused) {
            return;
        }
        if (ec) {
            self->fail(CloseReason::Error);
            return;
        }
        self->readSome();
    });
}

void Connection::readSome()
{
    asio::error_code ec;
    auto &buffer = readBuffer();
    const std::size_t n = m_socket.read_some(asio::buffer(buffer.data(), std::min(buffer.size(), m_readLimit)), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) {
        waitReadable();
        return;
    }
    if (ec == asio::error::eof && m_discardTimer && queuedBytes() > 0) {
        m_paused = true; // The socket stays readable at the end of its input.
        m_closeAfterWrites = true;
        return;
    }
    if (ec) {
        fail(ec == asio::error::eof ? CloseReason::PeerClosed : CloseReason::Error);
        return;
    }
    if (m_discardTimer) {
        discard(n);
        return;
    }
    const auto self = shared_from_this();
    const auto handler = m_events.data; // The handler may replace the events.
    if (handler) {
        handler(std::string_view(buffer.data(), n));
    }
    waitReadable();
}

void Connection::discard(std::size_t bytes)
{
    if (bytes > m_discardBytesLeft) {
        close();
        return;
    }
    m_discardBytesLeft -= bytes;
    waitReadable();
}

void Connection::write(std::string_view bytes)
{
    if (!m_socket.is_open() || m_closeAfterWrites || m_discardTimer) {
        return;
    }
    if (m_writeBuffer.empty() && !m_writing) {
        asio::error_code ec;
        const std::size_t n = m_socket.write_some(asio::buffer(bytes.data(), bytes.size()), ec);
        if (!ec && n == bytes.size()) {
            return;
        }
        m_writeBuffer.assign(bytes.substr(ec ? 0 : n));
        m_writeOffset = 0;
        m_acceptedAt = steadyMillis();
        writeSome(); // A write error is reported when the wait for writability ends.
        return;
    }
    if (m_writeOffset > WrittenBytesKept) {
        m_writeBuffer.erase(0, std::exchange(m_writeOffset, 0));
    }
    m_writeBuffer.append(bytes);
    writeSome();
}

void Connection::writeOwned(std::string bytes)
{
    if (!m_writeBuffer.empty() || m_writing || !m_socket.is_open() || m_closeAfterWrites || m_discardTimer) {
        write(bytes);
        return;
    }
    asio::error_code ec;
    const std::size_t n = m_socket.write_some(asio::buffer(bytes), ec);
    if (!ec && n == bytes.size()) {
        return;
    }
    m_writeBuffer = std::move(bytes);
    m_writeOffset = ec ? 0 : n;
    m_acceptedAt = steadyMillis();
    writeSome(); // A write error is reported when the wait for writability ends.
}

void Connection::writeSome()
{
    if (m_writing || m_writeBuffer.empty() || !m_socket.is_open()) {
        return;
    }
    m_writing = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](asio::error_code ec) {
        self->m_writing = false;
        if (!self->m_socket.is_open()) {
            return;
        }
        if (!ec) {
            const std::size_t n =
                self->m_socket.write_some(asio::buffer(self->m_writeBuffer.data() + self->m_writeOffset,
                                                       self->m_writeBuffer.size() - self->m_writeOffset),
                                          ec);
            self->m_writeOffset += ec ? 0 : n;
            self->m_acceptedAt = ec || n == 0 ? self->m_acceptedAt : steadyMillis();
        }
        if (ec && ec != asio::error::would_block && ec != asio::error::try_again) {
            self->fail(CloseReason::Error);
            return;
        }
        if (self->m_writeOffset < self->m_writeBuffer.size()) {
            self->writeSome();
            return;
        }
        std::string().swap(self->m_writeBuffer);
        self->m_writeOffset = 0;
        if (self->m_closeAfterWrites) {
            self->close();
        } else if (self->m_discardTimer) {
            self->shutdownSending();
        } else if (self->m_events.drained) {
            const auto handler = self->m_events.drained;
            handler();
        }
    });
}

std::size_t Connection::queuedBytes() const
{
    return m_writeBuffer.size() - m_writeOffset;
}

Millis Connection::stalledFor(Millis now) const
{
    return queuedBytes() > 0 ? now - m_acceptedAt : Millis{0};
}

bool Connection::hasUnreadBytes() const
{
    asio::error_code ec;
    return m_socket.available(ec) > 0;
}

bool Connection::hasPeerClosed()
{
    if (!m_socket.is_open()) {
        return true;
    }
    pollfd state{.fd = m_socket.native_handle(), .events = POLLRDHUP, .revents = 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
}

void Connection::setReadingPaused(bool pause)
{
    m_paused = pause;
    waitReadable();
}

void Connection::limitReads(std::size_t bytes)
{
    m_readLimit = bytes;
}

void Connection::closeAfterWrites()
{
    if (queuedBytes() == 0) {
        close();
        return;
    }
    m_closeAfterWrites = true;
}

void Connection::closeGracefully(asio::io_context &loop, const DiscardLimits &limits)
{
    if (!m_socket.is_open() || m_discardTimer) {
        return;
    }
    m_events = {};
    m_started = true;
    m_paused = false;
    m_discardBytesLeft = limits.bytes;
    m_discardTimer = std::make_unique<Timer>(loop);
    m_discardTimer->start(limits.time, [self = shared_from_this()] { self->close(); });
    if (queuedBytes() == 0) {
        shutdownSending();
    }
    waitReadable();
}

void Connection::shutdownSending()
{
    asio::error_code ec; // It only fails on a connection that has ended, which the next read reports.
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

void Connection::close()
{
    m_events = {};
    std::string().swap(m_writeBuffer); // Handlers that haven't run yet may keep this object for a while.
    m_writeOffset = 0;
    if (m_discardTimer) {
        m_discardTimer->cancel();
    }
    shutdownSending();
    asio::error_code ec; // Closing only fails on a socket that is already closed.
    m_socket.close(ec);
}

void Connection::abort()
{
    int unacknowledged = 0;
    const bool known = m_socket.is_open() && ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
    if (known && unacknowledged > 0) {
        asio::error_code ec; // Without the option the connection is closed as usual.
        m_socket.set_option(asio::socket_base::linger(true, 0), ec);
        m_events = {};
        m_socket.close(ec);
    }
    close();
}

bool Connection::isOpen() const
{
    return m_socket.is_open();
}

std::string Connection::peerIp() const
{
    asio::error_code ec;
    const auto endpoint = m_socket.remote_endpoint(ec);
    return ec ? std::string() : endpoint.address().to_string();
}

void Connection::fail(CloseReason by)
{
    const auto self = shared_from_this();
    const auto handler = std::move(m_events.closed);
    close();
    if (handler) {
        handler(by);
    }
}

Listener::Listener(asio::io_context &loop, std::function<void(std::shared_ptr<Connection>)> accepted,
                   ListenerOptions options)
    : m_acceptor(loop)
    , m_retryTimer(loop)
    , m_accepted(std::move(accepted))
    , m_options(std::move(options))
{
}

asio::error_code Listener::open(const std::string &ip, std::uint16_t port)
{
    asio::error_code ec;
    const auto address = asio::ip::make_address_v4(ip, ec);
    if (ec) {
        return ec;
    }
    const asio::ip::tcp::endpoint endpoint(address, port);
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), ec);
    }
    // Accepted connections inherit the sizes of the buffers; a size set later wouldn't limit the window.
    if (!ec && m_options.receiveBuffer > 0) {
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(m_options.receiveBuffer), ec);
    }
    if (!ec && m_options.sendBuffer > 0) {
        m_acceptor.set_option(asio::socket_base::send_buffer_size(m_options.sendBuffer), ec);
    }
    if (!ec) {
        m_acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        m_acceptor.listen(Backlog, ec);
    }
    if (!ec) {
        m_acceptor.non_blocking(true, ec);
    }
    if (!ec) {
        acceptNext();
    }
    return ec;
}

std::uint16_t Listener::port() const
{
    asio::error_code ec;
    const auto endpoint = m_acceptor.local_endpoint(ec);
    return ec ? 0 : endpoint.port();
}

void Listener::close()
{
    asio::error_code ec; // Closing only fails on an acceptor that is already closed.
    m_acceptor.close(ec);
    m_retryTimer.cancel();
}

void Listener::acceptNext()
{
    m_acceptor.async_wait(asio::ip::tcp::acceptor::wait_read, [this](const asio::error_code &ec) {
        if (ec != asio::error::operation_aborted) {
            acceptPending();
        }
    });
}

void Listener::acceptPending()
{
    asio::error_code ec;
    for (int n = 0; n < AcceptsInTurn && !ec && m_acceptor.is_open(); ++n) {
        if (m_options.admits && !m_options.admits()) {
            ec = asio::error::no_descriptors;
            break;
        }
        asio::ip::tcp::socket socket(m_acceptor.get_executor());
        m_acceptor.accept(socket, ec);
        if (!ec) {
            m_accepted(Connection::adopt(std::move(socket)));
        }
    }
    if (!m_acceptor.is_open()) {
        return;
    }
    if (!ec || ec == asio::error::would_block || ec == asio::error::connection_aborted) {
        acceptNext();
        return;
    }
    // The usual cause is that no file descriptor is free. An immediate retry would fail again and keep the loop busy.
    m_retryTimer.start(AcceptPause, [this] {
        if (m_acceptor.is_open()) { // It may have been closed while this handler was queued.
            acceptNext();
        }
    });
}

} // namespace ibislock::net
