#include "guarded_stream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <fcntl.h>
#include <openssl/err.h>
#include <poll.h>
#include <thread>

namespace ibislock::entry
{

namespace
{

/// What the framing of a chunked body may add to it.
constexpr std::size_t BodyFramingBytes = 64 << 10;

constexpr Millis LingerTimeout{500};
constexpr std::size_t LingerBytesMax = 4 << 20;

/// How often a waiting connection looks whether it must give way.
constexpr Millis GiveWayInterval{50};

/// How long a sender, or a reader, may make no progress while others wait for a thread.
constexpr Millis CrowdedSendTime{500};
constexpr Millis CrowdedReadTime{2000};

/// The least that a sender must bring from `CrowdedSendTime` on while others wait for a thread, in bytes for each
/// millisecond.
constexpr std::size_t CrowdedBytesPerMs = 64;

/// How long a peer may hold up a stop.
constexpr Millis StoppingTime{500};

/// How long a body waits for the room of others.
constexpr Millis RoomTime{1000};
constexpr Millis RoomInterval{10};

/// Answers after which the rest of the request is still unread.
constexpr std::array<std::string_view, 6> StatusesThatClose{"400", "411", "413", "414", "415", "431"};

void describeAddress(const sockaddr_storage &address, std::string &ip, int &port)
{
    std::array<char, INET6_ADDRSTRLEN> buf{};
    if (address.ss_family == AF_INET) {
        const auto &v4 = reinterpret_cast<const sockaddr_in &>(address);
        inet_ntop(AF_INET, &v4.sin_addr, buf.data(), buf.size());
        port = ntohs(v4.sin_port);
    } else if (address.ss_family == AF_INET6) {
        const auto &v6 = reinterpret_cast<const sockaddr_in6 &>(address);
        inet_ntop(AF_INET6, &v6.sin6_addr, buf.data(), buf.size());
        port = ntohs(v6.sin6_port);
    }
    ip = buf.data();
}

} // namespace

GuardedStream::GuardedStream(int socket, SslPointer ssl, const HttpOptions &options,
                             const StreamSurroundings &surroundings)
    : m_socket(socket)
    , m_ssl(std::move(ssl))
    , m_options(options)
    , m_surroundings(surroundings)
{
    fcntl(m_socket, F_SETFL, fcntl(m_socket, F_GETFL) | O_NONBLOCK);
}

GuardedStream::~GuardedStream()
{
    m_surroundings.account.release(m_holder);
    if (m_ssl && m_fault == StreamFault::None) {
        SSL_shutdown(m_ssl.get());
        ERR_clear_error();
    }
}

bool GuardedStream::handshake()
{
    const Millis deadline = steadyMillis() + m_options.headerTimeout;
    while (m_ssl) {
        ERR_clear_error();
        const int n = SSL_accept(m_ssl.get());
        if (n == 1) {
            break;
        }
        const int error = SSL_get_error(m_ssl.get(), n);
        const short events = error == SSL_ERROR_WANT_WRITE ? POLLOUT : POLLIN;
        if ((error != SSL_ERROR_WANT_READ && error != SSL_ERROR_WANT_WRITE) || !awaitPeer(events, deadline)) {
            // Without a handshake there is no way to tell why it gave way.
            m_fault = steadyMillis() >= deadline ? StreamFault::SlowHeader : StreamFault::Closed;
            return false;
        }
    }
    return true;
}

bool GuardedStream::waitForInput(Millis timeout)
{
    return m_begin < m_end || (m_ssl && SSL_pending(m_ssl.get()) > 0) || waitFor(POLLIN, steadyMillis() + timeout);
}

void GuardedStream::beginRequest()
{
    m_surroundings.account.release(m_holder);
    m_began = steadyMillis();
    m_deadline = m_began + m_options.headerTimeout;
    m_headerBytes = 0;
    m_bodyBytes = 0;
    m_lineEnds = 0;
    m_inHeader = true;
    m_answering = false;
}

StreamFault GuardedStream::fault() const
{
    return m_fault;
}

bool GuardedStream::mustClose() const
{
    return m_mustClose || m_fault != StreamFault::None;
}

void GuardedStream::refuse(std::string_view answer)
{
    transmit(answer.data(), answer.size(), steadyMillis() + LingerTimeout);
}

void GuardedStream::linger()
{
    if (m_surroundings.isCrowded()) {
        return;
    }
    shutdown(m_socket, SHUT_WR);
    const Millis deadline = steadyMillis() + LingerTimeout;
    std::size_t left = LingerBytesMax;
    while (left > 0 && waitFor(POLLIN, deadline)) {
        const ssize_t n = recv(m_socket, m_buffer.data(), std::min(left, m_buffer.size()), 0);
        if (n <= 0) {
            return;
        }
        left -= static_cast<std::size_t>(n);
    }
}

bool GuardedStream::is_readable() const
{
    return m_fault == StreamFault::None;
}

bool GuardedStream::is_writable() const
{
    return m_fault == StreamFault::None; // `write` waits
}

ssize_t GuardedStream::read(char *ptr, size_t size)
{
    if (m_fault != StreamFault::None || (m_begin == m_end && !fill())) {
        return -1;
    }
    const std::size_t n = std::min(size, m_end - m_begin);
    std::memcpy(ptr, m_buffer.data() + m_begin, n);
    m_begin += n;
    return account({ptr, n}) ? static_cast<ssize_t>(n) : -1;
}

ssize_t GuardedStream::write(const char *ptr, size_t size)
{
    if (m_fault != StreamFault::None) {
        return -1;
    }
    noteStatus({ptr, size});
    const ssize_t n = transmit(ptr, size, steadyMillis() + m_options.writeTimeout);
    if (n <= 0) {
        m_fault = StreamFault::Closed; // part of the answer is out, so no other one can follow
    }
    return n;
}

void GuardedStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &size) == 0) {
        describeAddress(address, ip, port);
    }
}

void GuardedStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size) == 0) {
        describeAddress(address, ip, port);
    }
}

socket_t GuardedStream::socket() const
{
    return m_socket;
}

bool GuardedStream::waitFor(short events, Millis deadline) const
{
    pollfd descriptor{.fd = m_socket, .events = events, .revents = 0};
    while (true) {
        const Millis left = std::max(deadline - steadyMillis(), Millis(0));
        const int n = poll(&descriptor, 1, static_cast<int>(left.count()));
        if (n >= 0 || errno != EINTR) {
            return n > 0;
        }
    }
}

/// Waits for the peer, unless the connection must give way.
bool GuardedStream::awaitPeer(short events, Millis deadline)
{
    const Millis began = steadyMillis();
    const Millis crowdedTime = events == POLLIN ? CrowdedSendTime : CrowdedReadTime;
    m_holder.waitingSince = events == POLLIN ? began.count() : 0;
    bool isReady = false;
    for (Millis now = began; !isReady && now < deadline && m_fault == StreamFault::None; now = steadyMillis()) {
        isReady = waitFor(events, std::min(deadline, now + GiveWayInterval));
        const Millis waited = steadyMillis() - began;
        if (!isReady
            && ((m_holder.isEvicted && events == POLLIN) || (waited >= crowdedTime && m_surroundings.isCrowded())
                || (waited >= StoppingTime && m_surroundings.isStopping()))) {
            m_fault = StreamFault::GaveWay;
        }
    }
    m_holder.waitingSince = 0;
    return isReady;
}

bool GuardedStream::isTooSlowForACrowd() const
{
    const Millis allowed =
        CrowdedSendTime + Millis(static_cast<std::int64_t>((m_headerBytes + m_bodyBytes) / CrowdedBytesPerMs));
    return steadyMillis() - m_began > allowed && m_surroundings.isCrowded();
}

/// Asks for the room of further bytes of a body, and waits while others make it.
bool GuardedStream::chargeBody(std::size_t bytes)
{
    const Millis deadline = steadyMillis() + RoomTime;
    ChargeResult result = m_surroundings.account.charge(m_holder, bytes);
    while (result == ChargeResult::Wait && steadyMillis() < deadline) {
        std::this_thread::sleep_for(RoomInterval);
        result = m_surroundings.account.charge(m_holder, bytes);
    }
    return result == ChargeResult::Granted;
}

ssize_t GuardedStream::receive(char *ptr, std::size_t size, Millis deadline)
{
    while (true) {
        short events = POLLIN;
        if (m_ssl) {
            ERR_clear_error();
            const int n = SSL_read(m_ssl.get(), ptr, static_cast<int>(size));
            const int error = n > 0 ? SSL_ERROR_NONE : SSL_get_error(m_ssl.get(), n);
            if (error != SSL_ERROR_WANT_READ && error != SSL_ERROR_WANT_WRITE) {
                return n;
            }
            events = error == SSL_ERROR_WANT_WRITE ? POLLOUT : POLLIN;
        } else {
            const ssize_t n = recv(m_socket, ptr, size, 0);
            if (n >= 0 || (errno != EAGAIN && errno != EINTR)) {
                return n;
            }
        }
        if (!awaitPeer(events, deadline)) {
            return -1;
        }
    }
}

ssize_t GuardedStream::transmit(const char *ptr, std::size_t size, Millis deadline)
{
    while (true) {
        short events = POLLOUT;
        if (m_ssl) {
            ERR_clear_error();
            const int n = SSL_write(m_ssl.get(), ptr, static_cast<int>(std::min<std::size_t>(size, INT_MAX)));
            const int error = n > 0 ? SSL_ERROR_NONE : SSL_get_error(m_ssl.get(), n);
            if (error != SSL_ERROR_WANT_READ && error != SSL_ERROR_WANT_WRITE) {
                return n;
            }
            events = error == SSL_ERROR_WANT_READ ? POLLIN : POLLOUT;
        } else {
            const ssize_t n = send(m_socket, ptr, size, MSG_NOSIGNAL);
            if (n >= 0 || (errno != EAGAIN && errno != EINTR)) {
                return n;
            }
        }
        if (!awaitPeer(events, deadline)) {
            return -1;
        }
    }
}

bool GuardedStream::fill()
{
    if (isTooSlowForACrowd()) {
        m_fault = StreamFault::GaveWay;
        return false;
    }
    const ssize_t n = receive(m_buffer.data(), m_buffer.size(), m_deadline);
    if (n > 0) {
        m_begin = 0;
        m_end = static_cast<std::size_t>(n);
        return true;
    }
    if (m_fault != StreamFault::None) {
        return false;
    }
    const bool late = n < 0 && steadyMillis() >= m_deadline;
    m_fault = !late ? StreamFault::Closed : m_inHeader ? StreamFault::SlowHeader : StreamFault::SlowBody;
    return false;
}

/// Counts what was handed to the HTTP library, and finds the end of the header.
bool GuardedStream::account(std::span<const char> delivered)
{
    const std::size_t bodyBytesBefore = m_bodyBytes;
    for (const char c : delivered) {
        if (!m_inHeader) {
            ++m_bodyBytes;
            continue;
        }
        ++m_headerBytes;
        if (c == '\n') {
            ++m_lineEnds;
        } else if (c != '\r') {
            m_lineEnds = 0;
        }
        if (m_lineEnds == 2) {
            m_inHeader = false;
            m_deadline = steadyMillis() + m_options.bodyTimeout;
        }
    }
    if (m_headerBytes > m_options.headerBytesMax) {
        m_fault = StreamFault::HeaderTooLarge;
    } else if (m_bodyBytes > m_options.bodyBytesMax + BodyFramingBytes) {
        m_fault = StreamFault::BodyTooLarge;
    } else if (m_bodyBytes > bodyBytesBefore && !chargeBody(m_bodyBytes - bodyBytesBefore)) {
        m_fault = StreamFault::GaveWay;
    }
    return m_fault == StreamFault::None;
}

void GuardedStream::noteStatus(std::string_view data)
{
    constexpr std::string_view Version = "HTTP/1.1 ";
    if (m_answering || !data.starts_with(Version)) {
        return;
    }
    const std::string_view status = data.substr(Version.size(), 3);
    m_answering = status != "100";
    m_mustClose = std::find(StatusesThatClose.begin(), StatusesThatClose.end(), status) != StatusesThatClose.end();
}

} // namespace ibislock::entry
