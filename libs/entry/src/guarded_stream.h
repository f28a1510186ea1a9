// One HTTP connection with limits on what its sender may take: time for the handshake, the header and the body, their
// sizes, and a part of the memory that all connections share. The HTTP library reads and writes through it.

#pragma once

#include "body_account.h"
#include "http_tls.h"
#include "ibislock/base/clock.h"
#include "ibislock/entry/options.h"

#include <array>
#include <httplib.h>
#include <span>

namespace ibislock::entry
{

/// Why a connection can't go on.
enum class StreamFault {
    None,
    Closed,
    SlowHeader,
    SlowBody,
    HeaderTooLarge,
    BodyTooLarge,
    GaveWay, ///< Its thread or its memory is needed for others.
};

/// What a connection shares with the others of its server.
struct StreamSurroundings
{
    BodyAccount &account;
    std::function<bool()> isCrowded; ///< Whether others wait for a thread.
    std::function<bool()> isStopping;
};

/// A connection in plain text or TLS. It does not own the socket.
class GuardedStream final : public httplib::Stream
{
public:
    /// @param socket the connected socket; it is made non-blocking.
    /// @param ssl the TLS side; null for plain text.
    /// @param surroundings must outlive it.
    GuardedStream(int socket, SslPointer ssl, const HttpOptions &options, const StreamSurroundings &surroundings);
    ~GuardedStream() override;

    GuardedStream(const GuardedStream &) = delete;
    GuardedStream &operator=(const GuardedStream &) = delete;

    /// Completes the TLS handshake within the time for a header.
    bool handshake();

    /// Waits for the first byte of the next request.
    /// @return whether there is one.
    bool waitForInput(Millis timeout);

    /// Starts the time of the next request.
    void beginRequest();

    /// Writes a last answer to a sender whose request was given up.
    void refuse(std::string_view answer);

    /// Ends the answer and reads what the sender has still under way, so that it does not lose the answer to a reset.
    void linger();

    /// Tells why the stream failed.
    StreamFault fault() const;

    /// Tells whether the last answer left the stream at an unknown place, so that it must be closed.
    bool mustClose() const;

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *ptr, size_t size) override;
    ssize_t write(const char *ptr, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override;

private:
    bool waitFor(short events, Millis deadline) const;
    bool awaitPeer(short events, Millis deadline);
    bool isTooSlowForACrowd() const;
    bool chargeBody(std::size_t bytes);
    ssize_t receive(char *ptr, std::size_t size, Millis deadline);
    ssize_t transmit(const char *ptr, std::size_t size, Millis deadline);
    bool fill();
    bool account(std::span<const char> delivered);
    void noteStatus(std::string_view data);

    int m_socket;
    SslPointer m_ssl;
    const HttpOptions &m_options;
    const StreamSurroundings &m_surroundings;
    BodyAccount::Holder m_holder;
    std::array<char, 4096> m_buffer{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    Millis m_began{0}; ///< When the present request began.
    Millis m_deadline{0};
    std::size_t m_headerBytes = 0;
    std::size_t m_bodyBytes = 0;
    unsigned m_lineEnds = 0; ///< How many line ends came one after the other.
    bool m_inHeader = true;
    bool m_answering = false;
    bool m_mustClose = false;
    StreamFault m_fault = StreamFault::None;
};

} // namespace ibislock::entry
