#include "ibislock/net/recent_connections.h"

#include <algorithm>

namespace ibislock::net
{

RecentConnections::RecentConnections(std::size_t most)
    : m_most(most)
{
}

RecentConnections::~RecentConnections()
{
    for (const auto &connection : m_connections) {
        connection->close();
    }
}

void RecentConnections::add(std::shared_ptr<Connection> connection)
{
    while (!m_connections.empty() && m_connections.size() >= m_most) {
        m_connections.front()->close();
        m_connections.erase(m_connections.begin());
    }
    m_connections.push_back(std::move(connection));
}

void RecentConnections::remove(const Connection *connection)
{
    std::erase_if(m_connections, [connection](const auto &kept) { return kept.get() == connection; });
}

} // namespace ibislock::net
