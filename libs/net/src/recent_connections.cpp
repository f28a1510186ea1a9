#include "ibislock/net/recent_connections.h"

#include <algorithm>
#include <numeric>

namespace ibislock::net
{

namespace
{

/// A peer that has accepted no byte for this long gives way to others; longer than a lost packet takes to be repeated.
constexpr Millis StalledTime{1000};

} // namespace

RecentConnections::RecentConnections(std::size_t most)
    : m_most(most)
{
}

RecentConnections::~RecentConnections()
{
    for (const Kept &kept : m_connections) {
        kept.connection->close();
    }
}

void RecentConnections::add(std::shared_ptr<Connection> connection)
{
    while (!m_connections.empty() && m_connections.size() >= m_most) {
        const auto unused =
            std::find_if(m_connections.begin(), m_connections.end(), [](const Kept &kept) { return !kept.used; });
        const auto it = unused != m_connections.end() ? unused : m_connections.begin();
        it->connection->close();
        m_connections.erase(it);
    }
    m_connections.push_back({.connection = std::move(connection)});
}

void RecentConnections::markUsed(const Connection *connection)
{
    const auto it = std::find_if(m_connections.begin(), m_connections.end(),
                                 [connection](const Kept &kept) { return kept.connection.get() == connection; });
    if (it != m_connections.end()) {
        it->used = true;
        std::rotate(it, std::next(it), m_connections.end());
    }
}

void RecentConnections::remove(const Connection *connection)
{
    std::erase_if(m_connections, [connection](const Kept &kept) { return kept.connection.get() == connection; });
}

void RecentConnections::close(const Connection *connection)
{
    const auto it = std::find_if(m_connections.begin(), m_connections.end(),
                                 [connection](const Kept &kept) { return kept.connection.get() == connection; });
    if (it != m_connections.end()) {
        it->connection->close();
        m_connections.erase(it);
    }
}

std::size_t RecentConnections::queuedBytes() const
{
    return std::accumulate(m_connections.begin(), m_connections.end(), std::size_t{0},
                           [](std::size_t sum, const Kept &kept) { return sum + kept.connection->queuedBytes(); });
}

std::size_t RecentConnections::room(std::size_t limit, Millis now)
{
    const std::size_t queued = queuedBytes();
    if (queued < limit) {
        return limit - queued;
    }
    std::erase_if(m_connections, [now](const Kept &kept) {
        const bool stalled = kept.connection->stalledFor(now) >= StalledTime;
        if (stalled) {
            kept.connection->close();
        }
        return stalled;
    });
    return limit - std::min(limit, queuedBytes());
}

} // namespace ibislock::net
