// Serves long polls of other VMs over TCP: a request is held until there is something to send or its time limit ends.
//
//     LongPollServer<peer::ListingsRequest> server(loop, {.decode = ..., .isReady = ..., .makeResponse = ...});
//     server.open("10.0.0.1", 7715);
//     server.completePending();          // after each change of the data that is served

#pragma once

#include "ibislock/base/log.h"
#include "ibislock/net/connection.h"
#include "ibislock/net/timer.h"
#include "ibislock/peer/frames.h"

#include <algorithm>
#include <memory>
#include <tuple>
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

/// What all connections of a server may take up together.
struct LongPollLimits
{
    std::size_t connections = 1024; ///< Each VM that reads from this one has one.
    /// Bytes of responses that wait to be sent. No further response is made while there are more.
    std::size_t unsentBytes = 32 * 1024 * 1024;
};

/// Listens for requests and answers them.
template <typename Request>
class LongPollServer
{
public:
    LongPollServer(asio::io_context &loop, LongPollHandler<Request> handler, LongPollLimits limits = {})
        : m_handler(std::move(handler))
        , m_limits(limits)
        , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) { serve(connection); },
                     {.receiveBuffer = ReceiveBuffer})
        , m_checkTimer(loop)
    {
    }

    /// Closes all connections.
    ~LongPollServer()
    {
        for (const auto &session : m_sessions) {
            session->connection->close();
        }
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
        std::size_t unsent = unsentBytes();
        std::vector<PendingRequest> pending;
        pending.swap(m_pending);
        for (PendingRequest &item : pending) {
            const auto session = item.session.lock();
            if (!session || !session->connection->isOpen()) {
                continue;
            }
            const bool ready = now >= item.receivedAt + item.request.wait || m_handler.isReady(item.request);
            const std::size_t queued = session->connection->queuedBytes();
            if (!ready || queued > MaxQueuedBytes || unsent >= m_limits.unsentBytes) {
                m_pending.push_back(std::move(item));
                continue;
            }
            ++m_responsesSent;
            --session->pending;
            session->connection->write(m_handler.makeResponse(item.request, now - item.receivedAt));
            unsent += session->connection->queuedBytes() - queued;
        }
    }

    /// Returns the number of open connections.
    std::size_t connections() const
    {
        return m_sessions.size();
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

    /// A response that isn't read on for this long is dropped with its connection when too many bytes are unsent.
    static constexpr Millis MaxReadPause{2000};

    /// Requests of a connection that may be pending; each VM has one or two.
    static constexpr std::size_t MaxPending = 16;

    /// Receive buffer of a connection in the kernel, in bytes (it takes up to twice as much).
    static constexpr int ReceiveBuffer = 32 * 1024;

    struct Session
    {
        std::shared_ptr<net::Connection> connection;
        peer::FrameReader reader{peer::MaxRequestBytes};
        std::size_t pending = 0; ///< Requests.
        Millis openedAt{0}; ///< By the boot clock, as the others.
        Millis requestedAt{0}; ///< When the last whole request was received; 0 for none.
        std::size_t lastUnsent = 0; ///< Bytes that were unsent at the last check.
        Millis readAt{0}; ///< When this last decreased.
    };

    struct PendingRequest
    {
        std::weak_ptr<Session> session;
        Request request;
        Millis receivedAt{0}; ///< By the boot clock.
    };

    void serve(const std::shared_ptr<net::Connection> &connection)
    {
        const Millis now = bootMillis();
        if (m_sessions.size() >= m_limits.connections) {
            // VMs request again and again, so that they are kept among connections that only stay open.
            closeSession(*std::min_element(m_sessions.begin(), m_sessions.end(), [](const auto &a, const auto &b) {
                return std::tie(a->requestedAt, a->openedAt) < std::tie(b->requestedAt, b->openedAt);
            }));
        }
        const auto session = std::make_shared<Session>();
        session->connection = connection;
        session->openedAt = session->readAt = now;
        m_sessions.push_back(session);
        connection->start({
            .data =
                [this, weak = std::weak_ptr(session)](std::string_view bytes) {
                    if (const auto self = weak.lock()) {
                        handleData(self, bytes);
                    }
                },
            .closed =
                [this, weak = std::weak_ptr(session)](net::CloseReason) {
                    if (const auto self = weak.lock()) {
                        closeSession(self);
                    }
                },
        });
    }

    void closeSession(std::shared_ptr<Session> session)
    {
        session->connection->close();
        std::erase(m_sessions, session);
    }

    void handleData(const std::shared_ptr<Session> &session, std::string_view bytes)
    {
        session->reader.add(bytes);
        for (auto body = session->reader.next(); body || body.error().code != ErrorCode::NotFound;
             body = session->reader.next()) {
            auto request = body ? m_handler.decode(*body) : Result<Request>(tl::unexpected(body.error()));
            if (!request || session->pending >= MaxPending) {
                logWarning(LogComponent::Store, "Invalid request from a VM; closing the connection.",
                           {{"vm", session->connection->peerIp()}});
                closeSession(session);
                return;
            }
            ++session->pending;
            session->requestedAt = bootMillis();
            m_pending.push_back(
                {.session = session, .request = std::move(*request), .receivedAt = session->requestedAt});
        }
        session->reader.releaseUnused();
        completePending();
    }

    std::size_t unsentBytes() const
    {
        std::size_t out = 0;
        for (const auto &session : m_sessions) {
            out += session->connection->queuedBytes();
        }
        return out;
    }

    /// Closes the connections whose responses aren't read on, if too many bytes are unsent.
    void closeUnread(Millis now)
    {
        std::vector<std::shared_ptr<Session>> unread;
        for (const auto &session : m_sessions) {
            const std::size_t unsent = session->connection->queuedBytes();
            if (unsent < session->lastUnsent || session->lastUnsent == 0) {
                session->readAt = now;
            }
            session->lastUnsent = unsent;
            if (unsent > 0 && now - session->readAt >= MaxReadPause) {
                unread.push_back(session);
            }
        }
        for (const auto &session : unread) {
            if (unsentBytes() >= m_limits.unsentBytes) {
                closeSession(session);
            }
        }
    }

    void checkPending()
    {
        closeUnread(bootMillis());
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
    std::vector<std::shared_ptr<Session>> m_sessions;
    std::uint64_t m_responsesSent = 0;
};

} // namespace ibislock::feed
