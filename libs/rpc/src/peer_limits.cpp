#include "peer_limits.h"

#include <algorithm>
#include <kj/debug.h>

namespace ibislock::rpc
{

namespace
{

/// Messages up to this size don't count: each connection may have one.
constexpr std::size_t SmallMessageBytes = 32 << 10;

/// Bytes of a message that are read at a time.
constexpr std::size_t PieceBytes = 64 << 10;

/// How long a connection that never sent a message may be silent when others need its place.
constexpr Millis SilenceTime{100};

/// The same for one that did; longer than its calls take.
constexpr Millis UnusedTime{60000};

/// How long an unfinished message may make no progress when others need its room.
constexpr Millis StalledTime{500};

/// Counts the messages that come in on a connection.
class GuardedPeerStream final : public kj::AsyncIoStream
{
public:
    GuardedPeerStream(kj::Own<kj::AsyncIoStream> stream, PeerLimits &limits, PeerLimits::Peer &peer)
        : m_stream(kj::mv(stream))
        , m_limits(limits)
        , m_peer(peer)
    {
    }

    ~GuardedPeerStream() noexcept
    {
        m_limits.release(m_peer);
    }

    KJ_DISALLOW_COPY(GuardedPeerStream);

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t minBytes, std::size_t maxBytes) override
    {
        if (minBytes > SmallMessageBytes) {
            return readLarge(static_cast<kj::byte *>(buffer), minBytes, 0);
        }
        return m_stream->tryRead(buffer, minBytes, maxBytes).then([this, minBytes](std::size_t n) {
            noteProgress();
            // A message begins with one word on its size.
            m_peer.hasSpoken = m_peer.hasSpoken || (n > sizeof(std::uint64_t) && n >= minBytes);
            return n;
        });
    }

    kj::Promise<void> write(const void *buffer, std::size_t size) override
    {
        noteProgress();
        return m_stream->write(buffer, size);
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        noteProgress();
        return m_stream->write(pieces);
    }

    kj::Promise<void> whenWriteDisconnected() override
    {
        return m_stream->whenWriteDisconnected();
    }

    void shutdownWrite() override
    {
        m_stream->shutdownWrite();
    }

    void abortRead() override
    {
        m_stream->abortRead();
    }

    void getsockopt(int level, int option, void *value, kj::uint *length) override
    {
        m_stream->getsockopt(level, option, value, length);
    }

    void setsockopt(int level, int option, const void *value, kj::uint length) override
    {
        m_stream->setsockopt(level, option, value, length);
    }

private:
    /// Reads the rest of a large message in pieces that count.
    kj::Promise<std::size_t> readLarge(kj::byte *buffer, std::size_t size, std::size_t have)
    {
        const std::size_t piece = std::min(size - have, PieceBytes);
        KJ_REQUIRE(m_limits.charge(m_peer, piece), "there is no room for the message");
        return m_stream->tryRead(buffer + have, piece, piece)
            .then([this, buffer, size, have, piece](std::size_t n) -> kj::Promise<std::size_t> {
                noteProgress();
                const std::size_t now = have + n;
                if (n == piece && now < size) {
                    return readLarge(buffer, size, now);
                }
                m_limits.release(m_peer);
                m_peer.hasSpoken = m_peer.hasSpoken || now == size;
                return now;
            });
    }

    void noteProgress()
    {
        m_peer.lastProgress = steadyMillis();
    }

    kj::Own<kj::AsyncIoStream> m_stream;
    PeerLimits &m_limits;
    PeerLimits::Peer &m_peer;
};

/// Finds the one for which a condition has held for longest.
template <typename Peers, typename Condition>
auto longestSilent(Peers &peers, Condition &&condition)
{
    auto found = peers.end();
    for (auto it = peers.begin(); it != peers.end(); ++it) {
        if (condition(*it) && (found == peers.end() || it->lastProgress < found->lastProgress)) {
            found = it;
        }
    }
    return found;
}

} // namespace

PeerLimits::PeerLimits(std::size_t connectionsMax, std::uint64_t unfinishedBytesMax)
    : m_connectionsMax(connectionsMax)
    , m_unfinishedBytesMax(unfinishedBytesMax)
{
}

bool PeerLimits::makeRoom()
{
    if (m_peers.size() < m_connectionsMax) {
        return true;
    }
    const Millis now = steadyMillis();
    const auto unused = longestSilent(m_peers, [now](const Peer &peer) {
        return !peer.canceler.isEmpty() && now - peer.lastProgress >= (peer.hasSpoken ? UnusedTime : SilenceTime);
    });
    if (unused == m_peers.end()) {
        return false;
    }
    close(*unused);
    return true;
}

kj::Promise<void> PeerLimits::serve(kj::Function<kj::Promise<void>(Peer &)> begin)
{
    const auto it = m_peers.emplace(m_peers.end());
    it->lastProgress = steadyMillis();
    return it->canceler.wrap(kj::evalNow([&] { return begin(*it); })).attach(kj::defer([this, it] {
        m_peers.erase(it);
    }));
}

kj::Own<kj::AsyncIoStream> PeerLimits::guard(kj::Own<kj::AsyncIoStream> stream, Peer &peer)
{
    return kj::heap<GuardedPeerStream>(kj::mv(stream), *this, peer);
}

bool PeerLimits::charge(Peer &peer, std::uint64_t bytes)
{
    const Millis now = steadyMillis();
    while (m_unfinishedBytes + bytes > m_unfinishedBytesMax) {
        const auto stalled = longestSilent(m_peers, [&](const Peer &other) {
            return &other != &peer && other.unfinishedBytes > 0 && now - other.lastProgress >= StalledTime;
        });
        if (stalled == m_peers.end()) {
            return false;
        }
        close(*stalled);
    }
    peer.unfinishedBytes += bytes;
    m_unfinishedBytes += bytes;
    return true;
}

void PeerLimits::release(Peer &peer)
{
    m_unfinishedBytes -= peer.unfinishedBytes;
    peer.unfinishedBytes = 0;
}

/// Ends a connection and takes its room back.
void PeerLimits::close(Peer &peer)
{
    release(peer);
    peer.canceler.cancel("the connection gives way to others");
}

} // namespace ibislock::rpc
