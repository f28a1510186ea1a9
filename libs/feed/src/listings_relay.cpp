#include "ibislock/feed/listings_relay.h"

#include "ibislock/base/log.h"

namespace ibislock::feed
{

namespace
{

/// Between two looks at the times of asks; a fraction of the shortest wait of some 400 ms.
constexpr Millis TickTime{50};

/// Bytes that a VM has not taken beyond which it gets no further answer; all listings of 300 targets have some 60 KB.
constexpr std::size_t QueuedBytes = 256 * 1024;

/// The age that is told while nothing is known.
constexpr Millis UnknownAge{std::chrono::hours{24}};

} // namespace

ListingsRelay::ListingsRelay(asio::io_context &loop, const ListingsCache &cache,
                             std::function<peer::TopicLevel()> level)
    : m_cache(cache)
    , m_level(std::move(level))
    , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) { serve(connection); })
    , m_tick(loop)
{
}

ListingsRelay::~ListingsRelay()
{
    for (const auto &[raw, connection] : m_connections) {
        connection->close();
    }
}

asio::error_code ListingsRelay::open(const std::string &ip, std::uint16_t port)
{
    const asio::error_code ec = m_listener.open(ip, port);
    if (!ec) {
        tick();
    }
    return ec;
}

void ListingsRelay::noteStoreBack(Millis at)
{
    m_storeBackAt = at;
}

std::uint64_t ListingsRelay::answers() const
{
    return m_answers;
}

void ListingsRelay::serve(const std::shared_ptr<net::Connection> &connection)
{
    m_connections.emplace(connection.get(), connection);
    auto *raw = connection.get();
    connection->start({
        .data =
            [this, raw, reader = std::make_shared<peer::FrameReader>()](std::string_view bytes) {
                reader->add(bytes);
                while (raw->isOpen()) {
                    const auto body = reader->next();
                    if (!body && body.error().code == ErrorCode::NotFound) {
                        return;
                    }
                    const auto message = body ? peer::decodeListings(*body)
                                              : Result<peer::ListingsMessage>(tl::unexpected(body.error()));
                    if (!message || !std::holds_alternative<peer::ListingsAsk>(*message)) {
                        logWarning(Part::Store, "A VM sent something that asks for no listings.",
                                   {{"vm", raw->peerIp()}});
                        raw->close();
                        m_connections.erase(raw);
                        return;
                    }
                    m_waiting.push_back({.connection = raw->weak_from_this(),
                                         .ask = std::get<peer::ListingsAsk>(*message),
                                         .since = bootMillis()});
                    answerWaiting();
                }
            },
        .closed = [this, raw](net::ClosedBy) { m_connections.erase(raw); },
    });
}

bool ListingsRelay::isDue(const Waiting &waiting, Millis now) const
{
    if (now >= waiting.since + waiting.ask.wait) {
        return true;
    }
    if (m_cache.since < 0 || m_cache.end < waiting.ask.from) {
        return false;
    }
    return !covers(m_cache, waiting.ask.from) || !changesFrom(m_cache, waiting.ask.from).empty();
}

peer::ListingsUpdate ListingsRelay::answerTo(const Waiting &waiting, Millis now) const
{
    const bool known = m_cache.since >= 0;
    peer::ListingsUpdate out{.sequence = waiting.ask.sequence,
                             .end = m_cache.end,
                             .whole = known && !covers(m_cache, waiting.ask.from),
                             .held = now - waiting.since,
                             .age = known ? now - m_cache.asOf : UnknownAge,
                             .storeBack = {},
                             .listings = {},
                             .operators = m_level()};
    if (m_storeBackAt) {
        out.storeBack = now - *m_storeBackAt;
    }
    if (known) {
        out.listings = out.whole ? allListings(m_cache) : changesFrom(m_cache, waiting.ask.from);
    }
    return out;
}

void ListingsRelay::answerWaiting()
{
    const Millis now = bootMillis();
    std::vector<Waiting> waiting;
    waiting.swap(m_waiting);
    for (Waiting &item : waiting) {
        const auto connection = item.connection.lock();
        if (!connection || !connection->isOpen()) {
            continue;
        }
        if (!isDue(item, now) || connection->queued() > QueuedBytes) {
            m_waiting.push_back(std::move(item));
            continue;
        }
        ++m_answers;
        connection->write(encode(answerTo(item, now)));
    }
}

void ListingsRelay::tick()
{
    if (!m_waiting.empty()) {
        answerWaiting();
    }
    m_tick.expires_after(TickTime);
    m_tick.async_wait([this](const asio::error_code &ec) {
        if (!ec) {
            tick();
        }
    });
}

} // namespace ibislock::feed
