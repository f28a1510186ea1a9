// Accepted connections that a server keeps until they end, limited in number: the oldest is closed for a new one.
// Without a limit, connections that are opened and never used take up the descriptors of the process.
//
//     RecentConnections kept(16);
//     kept.add(connection);
//     kept.remove(connection.get());

#pragma once

#include "ibislock/net/connection.h"

#include <memory>
#include <vector>

namespace ibislock::net
{

/// Connections in the order in which they were accepted.
class RecentConnections
{
public:
    /// @param most how many are kept.
    explicit RecentConnections(std::size_t most);

    /// Closes all connections.
    ~RecentConnections();
    RecentConnections(const RecentConnections &) = delete;
    RecentConnections &operator=(const RecentConnections &) = delete;

    /// Keeps a connection, and closes the oldest one if there are too many.
    void add(std::shared_ptr<Connection> connection);

    /// Releases a connection; does nothing if it isn't kept.
    void remove(const Connection *connection);

private:
    std::size_t m_most;
    std::vector<std::shared_ptr<Connection>> m_connections; ///< The oldest first.
};

} // namespace ibislock::net
