// Limits on what the connections of other processes may take together: their number, and the bytes of their unfinished
// messages. Everything here belongs to the event loop.

#pragma once

#include "ibislock/base/clock.h"

#include <kj/async-io.h>
#include <list>

namespace ibislock::rpc
{

/// The connections of a server.
class PeerLimits
{
public:
    /// What is known of one connection.
    struct Peer
    {
        kj::Canceler canceler; ///< Of all that the connection does.
        Millis lastProgress{0}; ///< When bytes last came or went.
        bool hasSpoken = false; ///< Whether a message came whole.
        std::uint64_t unfinishedBytes = 0; ///< Of a large message that hasn't come whole.
    };

    /// @param connectionsMax open at the same time.
    /// @param unfinishedBytesMax of all connections together; small messages don't count.
    PeerLimits(std::size_t connectionsMax, std::uint64_t unfinishedBytesMax);

    /// Makes room for a connection; one that is open and isn't used may be closed for it.
    /// @return false when there is none now.
    bool makeRoom();

    /// Serves a connection within the limits.
    /// @param begin starts to serve it; it may call `guard` with the peer.
    kj::Promise<void> serve(kj::Function<kj::Promise<void>(Peer &)> begin);

    /// Wraps a stream so that its messages count.
    /// @param peer must outlive the stream, as it does in `serve`.
    kj::Own<kj::AsyncIoStream> guard(kj::Own<kj::AsyncIoStream> stream, Peer &peer);

    /// Asks for room for bytes of an unfinished message; connections whose messages make no progress may be closed.
    bool charge(Peer &peer, std::uint64_t bytes);

    /// Takes back the room of a message.
    void release(Peer &peer);

private:
    using Peers = std::list<Peer>;

    void close(Peer &peer);

    const std::size_t m_connectionsMax;
    const std::uint64_t m_unfinishedBytesMax;
    std::uint64_t m_unfinishedBytes = 0;
    Peers m_peers;
};

} // namespace ibislock::rpc
