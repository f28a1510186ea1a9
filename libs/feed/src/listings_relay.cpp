#include "ibislock/feed/listings_relay.h"

namespace ibislock::feed
{

namespace
{

/// The age that is told while nothing is known.
constexpr Millis UnknownAge{std::chrono::hours{24}};

/// For how long an entry VM that asked is told to others; it asks each second or two.
constexpr Millis EntryVmLifetime{4000};

} // namespace

ListingsRelay::ListingsRelay(asio::io_context &loop, const ListingsCache &cache,
                             std::function<peer::TopicWatermark()> level)
    : m_cache(cache)
    , m_ownWatermark(std::move(level))
    , m_server(loop,
               {.decode = [this](std::string_view body) { return decodeRequest(body); },
                .isReady = [this](const peer::ListingsRequest &ask) { return isReady(ask); },
                .makeResponse =
                    [this](const peer::ListingsRequest &ask, Millis held) {
                        return encode(makeResponse(ask, held));
                    }})
{
}

asio::error_code ListingsRelay::open(const std::string &ip, std::uint16_t port)
{
    return m_server.open(ip, port);
}

void ListingsRelay::recordStoreRecovery(Millis at)
{
    m_storeRecoveredAt = at;
}

std::uint64_t ListingsRelay::responsesSent() const
{
    return m_server.responsesSent();
}

void ListingsRelay::completePending()
{
    m_server.completePending();
}

Result<peer::ListingsRequest> ListingsRelay::decodeRequest(std::string_view body)
{
    const auto message = peer::decodeListings(body);
    if (!message || !std::holds_alternative<peer::ListingsRequest>(*message)) {
        return failure(ErrorCode::Corrupt, "no ask for listings");
    }
    const auto &ask = std::get<peer::ListingsRequest>(*message);
    if (!ask.entryVm.empty()) {
        const Millis now = bootMillis();
        m_entryVms[ask.entryVm] = now;
        std::erase_if(m_entryVms, [&](const auto &item) { return now - item.second > EntryVmLifetime; });
    }
    return ask;
}

bool ListingsRelay::isReady(const peer::ListingsRequest &ask) const
{
    if (m_cache.coveredFrom < 0 || m_cache.end < ask.from) {
        return false;
    }
    return !covers(m_cache, ask.from) || !changesFrom(m_cache, ask.from).empty();
}

std::vector<std::string> ListingsRelay::recentEntryVms(Millis now) const
{
    std::vector<std::string> out;
    for (const auto &[vm, askedAt] : m_entryVms) {
        if (now - askedAt <= EntryVmLifetime) {
            out.push_back(vm);
        }
    }
    return out;
}

peer::ListingsUpdate ListingsRelay::makeResponse(const peer::ListingsRequest &ask, Millis held) const
{
    const Millis now = bootMillis();
    const bool known = m_cache.coveredFrom >= 0;
    peer::ListingsUpdate out{.sequence = ask.sequence,
                             .end = m_cache.end,
                             .isSnapshot = known && !covers(m_cache, ask.from),
                             .heldFor = held,
                             .age = known ? now - m_cache.asOf : UnknownAge,
                             .sinceStoreRecovery = {},
                             .listings = {},
                             .operatorsWatermark = m_ownWatermark(),
                             .entryVms = recentEntryVms(now)};
    if (m_storeRecoveredAt) {
        out.sinceStoreRecovery = now - *m_storeRecoveredAt;
    }
    if (known) {
        out.listings = out.isSnapshot ? allListings(m_cache) : changesFrom(m_cache, ask.from);
    }
    return out;
}

} // namespace ibislock::feed
