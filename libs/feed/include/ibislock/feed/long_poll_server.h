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

/// Listens for requests and answers them.
template <typename Request>
class LongPollServer
{
public:
    LongPollServer(asio::io_context &loop, LongPollHandler<Request> handler)
        : m_handler(std::move(handler))
        , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) { serve(connection); })
        , m_checkTimer(loop)
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
        const Millis now = bootMillis();
        std::vector<PendingRequest> pending;
        pending.swap(m_pending);
        for (PendingRequest &item : pending) {
            const auto connection = item.connection.lock();
            if (!connection || !connection->isOpen()) {
                continue;
            }
            const bool ready = now >= item.receivedAt + item.request.wait || m_handler.isReady(item.request);
            if (!ready || connection->queuedBytes() > MaxQueuedBytes) {
                m_pending.push_back(std::move(item));
                continue;
            }
            ++m_responsesSent;
            connection->write(m_handler.makeResponse(item.request, now - item.receivedAt));
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

    /// Connections that are kept; each VM that reads from this one has one.
    static constexpr std::size_t MaxConnections = 1024;

    /// The largest request, in bytes; requests have some hundred.
    static constexpr std::size_t MaxRequestBytes = 64 * 1024;

    /// Requests that may be pending; each VM has one or two.
    static constexpr std::size_t MaxPending = 4096;

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
            .data = [this, raw, reader = std::make_shared<peer::FrameReader>(MaxRequestBytes)](
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
            if (!request || m_pending.size() >= MaxPending) {
                logWarning(LogComponent::Store, "Invalid request from a VM; closing the connection.",
                           {{"vm", connection.peerIp()}});
                connection.close();
                m_connections.remove(&connection);
                return;
            }
            m_pending.push_back({.connection = connection.weak_from_this(),
                                 .request = std::move(*request),
                                 .receivedAt = bootMillis()});
            completePending();
        }
    }

    void checkPending()
    {
        if (!m_pending.empty()) {
            completePending();
        }
        m_checkTimer.start(CheckInterval, [this] { checkPending(); });
    }

    LongPollHandler<Request> m_handler;
    net::Listener m_listener;
    net::Timer m_checkTimer;
    std::vector<PendingRequest> m_pending;
    net::RecentConnections m_connections{MaxConnections};
    std::uint64_t m_responsesSent = 0;
};

} // namespace ibislock::feed
