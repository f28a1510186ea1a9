#include "ibislock/feed/send_time.h"

#include <algorithm>

namespace ibislock::feed
{

SendTimeClock makeSendTimeClock(std::uint64_t random, Millis now)
{
    return {.first = std::max<std::uint64_t>(random, 1), .startedAt = now};
}

peer::SendStamps stampsFor(const SendTimeClock &clock, const SendTimePeer &peer, Millis now)
{
    peer::SendStamps out{.sent = clock.first + static_cast<std::uint64_t>((now - clock.startedAt).count())};
    if (peer.stamp != 0) {
        out.returned = peer.stamp;
        out.heldFor = now - peer.receivedAt;
    }
    return out;
}

std::optional<Millis> recordStamps(const SendTimeClock &clock, SendTimePeer &peer, const peer::SendStamps &stamps,
                                   Millis now)
{
    if (stamps.sent != 0) {
        peer = {.stamp = stamps.sent, .receivedAt = now};
    }
    const std::uint64_t sinceStart = stamps.returned - clock.first;
    const auto lifetime = static_cast<std::uint64_t>((now - clock.startedAt).count());
    if (stamps.returned == 0 || sinceStart > lifetime || stamps.heldFor < Millis{0}) {
        return std::nullopt;
    }
    const Millis sentAfter = clock.startedAt + Millis{static_cast<std::int64_t>(sinceStart)} + stamps.heldFor;
    return sentAfter <= now ? std::optional(sentAfter) : std::nullopt;
}

} // namespace ibislock::feed
