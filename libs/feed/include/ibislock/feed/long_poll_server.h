// Serves long polls of other VMs over TCP: a request is held until there is something to send or its time limit ends.
//
//     LongPollServer<peer::ListingsRequest> server(loop, {.decode = ..., .isReady = ..., .makeResponse = ...});
//     server.open("10.0.0.1", 7715);
//     server.completePending();          // after each change of the data that is served

#pragma once

#include "ibislock/base/log.h"
#include "ibislock/net/recent_connections.h"
#include "ibislock/net/timer.h"
#include "ibislock/peer/frames.h"

#include <algorithm>
#include <vector>

namespace ibislock::feed
{

/// The operations that depend on the type of request. A request has a field `wait`: for how long it may be held.
template <typename Request>
struct LongPollHandler
{
    /// Decodes the body of a frame; may record the requesting VM.
    std::function<Result<Request>(std::string_view body)> decode;
    std::function<bool(const Request &request)> isReady; ///< Returns whether there is something to send now.
    /// Returns the response with its length in front.
    std::function<std::string(const Request &request, Millis heldFor)> makeResponse;
};

/// Limits of a server, within which other VMs that read at a usual rate stay.
struct LongPollLimits
{
    std::size_t connections = 1024; ///< That are kept; each VM that reads from this one has one.
    std::size_t queuedBytes = 64U << 20U; ///< Of responses that other VMs haven't read yet, of all connections.
};

/// Listens for requests and answers them.
template <typename Request>
class LongPollServer
{
public:
    LongPollServer(asio::io_context &loop, LongPollHandler<Request> handler, const LongPollLimits &limits = {})
        : m_handler(std::move(handler))
        , m_limits(limits)
        , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) { serve(connection); },
                     {.receiveBuffer = ReceiveBuffer})
        , m_checkTimer(loop)
        , m_connections(limits.connections)
    {
    }

    LongPollServer(const LongPollServer &) = delete;
    LongPollServer &operator=(const LongPollServer &) = delete;

    /// Starts to listen.
    /// @return an empty code, or why the address can't be listened on.
    asio::error_code open(const std::string &ip, std::uint16_t port)
    {
        const asio::error_code ec = m_listener.open(ip, port);
        if (!ec) {
            checkPending();
        }
        return ec;
    }

    /// Answers the pending requests for which there is something to send or whose time limit has ended. A VM that
    /// doesn't read its responses gets no further one until they are sent.
    void completePending()
    {
        std::vector<PendingRequest> pending;
        pending.swap(m_pending);
        for (PendingRequest &item : pending) {
            if (!complete(item)) {
                m_pending.push_back(std::move(item));
            }
        }
    }

    /// Returns the number of requests that were answered.
    std::uint64_t responsesSent() const
    {
        return m_responsesSent;
    }

private:
    /// Interval between checks of the time limits of pending requests; a fraction of the shortest limit, about 400 ms.
    static constexpr Millis CheckInterval{50};

    /// A connection with more unsent bytes than these gets no further response until they are sent.
    static constexpr std::size_t MaxQueuedBytes = 256 * 1024;

    /// Requests of one connection that may be pending; a VM has one or two.
    static constexpr std::ptrdiff_t MaxPendingOfConnection = 8;

    /// Receive buffer of a connection in bytes; requests are small.
    static constexpr int ReceiveBuffer = 32 * 1024;

    struct PendingRequest
    {
        std::weak_ptr<net::Connection> connection;
        Request request;
        Millis receivedAt{0}; ///< By the boot clock.
    };

    void serve(const std::shared_ptr<net::Connection> &connection)
    {
        m_connections.add(connection);
        auto *raw = connection.get();
        connection->start({
            .data = [this, raw, reader = std::make_shared<peer::FrameReader>(peer::MaxRequestBytes)](
                        std::string_view bytes) { handleData(*raw, *reader, bytes); },
            .closed = [this, raw](net::CloseReason) { m_connections.remove(raw); },
        });
    }

    void handleData(net::Connection &connection, peer::FrameReader &reader, std::string_view bytes)
    {
        reader.add(bytes);
        while (connection.isOpen()) {
            const auto body = reader.next();
            if (!body && body.error().code == ErrorCode::NotFound) {
                return;
            }
            auto request = body ? m_handler.decode(*body) : Result<Request>(tl::unexpected(body.error()));
            if (!request || pendingOf(connection) >= MaxPendingOfConnection) {
                logWarning(LogComponent::Store, "Invalid request from a VM; closing the connection.",
                           {{"vm", connection.peerIp()}});
                m_connections.close(&connection);
                return;
            }
            m_connections.markUsed(&connection);
            PendingRequest item{
                .connection = connection.weak_from_this(), .request = std::move(*request), .receivedAt = bootMillis()};
            if (!complete(item)) {
                m_pending.push_back(std::move(item));
            }
        }
    }

    std::ptrdiff_t pendingOf(net::Connection &connection) const
    {
        const std::weak_ptr<net::Connection> weak = connection.weak_from_this();
        return std::count_if(m_pending.begin(), m_pending.end(), [&](const PendingRequest &item) {
            return !item.connection.owner_before(weak) && !weak.owner_before(item.connection);
        });
    }

    /// Answers a request if there is something to send or its time limit has ended, and if there is room for responses.
    /// @return false if it stays pending.
    bool complete(const PendingRequest &item)
    {
        const Millis now = bootMillis();
        const auto connection = item.connection.lock();
        if (!connection || !connection->isOpen()) {
            return true;
        }
        const bool ready = now >= item.receivedAt + item.request.wait || m_handler.isReady(item.request);
        if (!ready || connection->queuedBytes() > MaxQueuedBytes
            || m_connections.room(m_limits.queuedBytes, steadyMillis()) == 0) {
            return !connection->isOpen();
        }
        ++m_responsesSent;
        connection->write(m_handler.makeResponse(item.request, now - item.receivedAt));
        return true;
    }

    void checkPending()
    {
        if (!m_pending.empty()) {
            completePending();
        }
        m_checkTimer.start(CheckInterval, [this] { checkPending(); });
    }

    LongPollHandler<Request> m_handler;
    LongPollLimits m_limits;
    net::Listener m_listener;
    net::Timer m_checkTimer;
    std::vector<PendingRequest> m_pending;
    net::RecentConnections m_connections;
    std::uint64_t m_responsesSent = 0;
};

} // namespace ibislock::feed
