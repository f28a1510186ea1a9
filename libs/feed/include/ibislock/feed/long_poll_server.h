// Answers asks of other VMs over TCP, and holds each back until there is something to tell or its time is over.
//
//     HeldAsks<peer::ListingsAsk> asks(loop, {.take = ..., .isDue = ..., .answer = ...});
//     asks.open("10.0.0.1", 7715);
//     asks.answerWaiting();              // after each change of what is told

#pragma once

#include "ibislock/base/log.h"
#include "ibislock/net/connection.h"
#include "ibislock/net/timer.h"
#include "ibislock/peer/frames.h"

#include <map>
#include <vector>

namespace ibislock::feed
{

/// What differs between kinds of asks. An ask has a field `wait`: how long it may be held back.
template <typename Ask>
struct LongPollHandler
{
    std::function<Result<Ask>(std::string_view body)> decode; ///< Reads the body of a frame, and may note who asks.
    std::function<bool(const Ask &ask)> isReady; ///< Tells whether there is something to tell now.
    std::function<std::string(const Ask &ask, Millis held)> makeResponse; ///< The answer with its length in front.
};

/// Listens for asks and answers them.
template <typename Ask>
class LongPollServer
{
public:
    LongPollServer(asio::io_context &loop, LongPollHandler<Ask> handler)
        : m_handler(std::move(handler))
        , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) { serve(connection); })
        , m_tick(loop)
    {
    }

    ~LongPollServer()
    {
        for (const auto &[raw, connection] : m_connections) {
            connection->close();
        }
    }

    LongPollServer(const LongPollServer &) = delete;
    LongPollServer &operator=(const LongPollServer &) = delete;

    /// Begins to listen.
    /// @return nothing, or what failed.
    asio::error_code open(const std::string &ip, std::uint16_t port)
    {
        const asio::error_code ec = m_listener.open(ip, port);
        if (!ec) {
            tick();
        }
        return ec;
    }

    /// Answers those for whom there is something now, and those who have waited for long enough.
    void completePending()
    {
        const Millis now = bootMillis();
        std::vector<Waiting> waiting;
        waiting.swap(m_waiting);
        for (Waiting &item : waiting) {
            const auto connection = item.connection.lock();
            if (!connection || !connection->isOpen()) {
                continue;
            }
            const bool due = now >= item.since + item.ask.wait || m_handler.isReady(item.ask);
            if (!due || connection->queuedBytes() > QueuedBytes) {
                m_waiting.push_back(std::move(item));
                continue;
            }
            ++m_answers;
            connection->write(m_handler.makeResponse(item.ask, now - item.since));
        }
    }

    /// How many asks have been answered.
    std::uint64_t responsesSent() const
    {
        return m_answers;
    }

private:
    /// Between two looks at the times of asks; a fraction of the shortest wait of some 400 ms.
    static constexpr Millis TickTime{50};

    /// Bytes that a VM has not taken beyond which it gets no further answer.
    static constexpr std::size_t QueuedBytes = 256 * 1024;

    struct Waiting
    {
        std::weak_ptr<net::Connection> connection;
        Ask ask;
        Millis since{0}; ///< By the boot clock.
    };

    void serve(const std::shared_ptr<net::Connection> &connection)
    {
        m_connections.emplace(connection.get(), connection);
        auto *raw = connection.get();
        connection->start({
            .data = [this, raw, reader = std::make_shared<peer::FrameReader>()](
                        std::string_view bytes) { take(*raw, *reader, bytes); },
            .closed = [this, raw](net::CloseReason) { m_connections.erase(raw); },
        });
    }

    void take(net::Connection &connection, peer::FrameReader &reader, std::string_view bytes)
    {
        reader.add(bytes);
        while (connection.isOpen()) {
            const auto body = reader.next();
            if (!body && body.error().code == ErrorCode::NotFound) {
                return;
            }
            auto ask = body ? m_handler.decode(*body) : Result<Ask>(tl::unexpected(body.error()));
            if (!ask) {
                logWarning(LogComponent::Store, "A VM sent something that asks for nothing.",
                           {{"vm", connection.peerIp()}});
                connection.close();
                m_connections.erase(&connection);
                return;
            }
            m_waiting.push_back(
                {.connection = connection.weak_from_this(), .ask = std::move(*ask), .since = bootMillis()});
            completePending();
        }
    }

    void tick()
    {
        if (!m_waiting.empty()) {
            completePending();
        }
        m_tick.start(TickTime, [this] { tick(); });
    }

    LongPollHandler<Ask> m_handler;
    net::Listener m_listener;
    net::Timer m_tick;
    std::vector<Waiting> m_waiting;
    std::map<const net::Connection *, std::shared_ptr<net::Connection>> m_connections;
    std::uint64_t m_answers = 0;
};

} // namespace ibislock::feed
