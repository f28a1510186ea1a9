// Accepted connections that a server keeps until they end, limited in number and in what is queued on them. Without
// limits, connections that are opened and never used take up the descriptors of the process, and responses that are
// never read take up its memory.
//
//     RecentConnections kept(16);
//     kept.add(connection);
//     kept.markUsed(connection.get());      // it has sent a request
//     if (kept.room(1 << 20, now) > 0) { connection->write(response); }
//     kept.remove(connection.get());

#pragma once

#include "ibislock/net/connection.h"

#include <memory>
#include <vector>

namespace ibislock::net
{

/// Connections in the order in which they were accepted or last used.
class RecentConnections
{
public:
    /// @param most how many are kept.
    explicit RecentConnections(std::size_t most);

    /// Closes all connections.
    ~RecentConnections();
    RecentConnections(const RecentConnections &) = delete;
    RecentConnections &operator=(const RecentConnections &) = delete;

    /// Keeps a connection. If there are too many, closes the oldest one that was never used, or else the one that was
    /// not used for the longest time.
    void add(std::shared_ptr<Connection> connection);

    /// Records that a connection has sent a request.
    void markUsed(const Connection *connection);

    /// Releases a connection; does nothing if it isn't kept.
    void remove(const Connection *connection);

    /// Closes and releases a connection.
    void close(const Connection *connection);

    /// Returns how many bytes may still be queued on all connections together. If there are none, closes first the
    /// connections whose peers have accepted nothing for a while.
    /// @param limit of the bytes that are queued.
    /// @param now time of the steady clock.
    std::size_t room(std::size_t limit, Millis now);

private:
    struct Kept
    {
        std::shared_ptr<Connection> connection;
        bool used = false;
    };

    std::size_t queuedBytes() const;

    std::size_t m_most;
    std::vector<Kept> m_connections; ///< Those that were not used for the longest time first.
};

} // namespace ibislock::net
