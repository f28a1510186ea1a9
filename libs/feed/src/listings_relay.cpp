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
                             std::function<peer::TopicLevel()> level)
    : m_cache(cache)
    , m_level(std::move(level))
    , m_asks(loop,
             {.take = [this](std::string_view body) { return takeAsk(body); },
              .isDue = [this](const peer::ListingsAsk &ask) { return isDue(ask); },
              .answer =
                  [this](const peer::ListingsAsk &ask, Millis held) {
                      return encode(answerTo(ask, held));
                  }})
{
}

asio::error_code ListingsRelay::open(const std::string &ip, std::uint16_t port)
{
    return m_asks.open(ip, port);
}

void ListingsRelay::noteStoreBack(Millis at)
{
    m_storeBackAt = at;
}

std::uint64_t ListingsRelay::answers() const
{
    return m_asks.answers();
}

void ListingsRelay::answerWaiting()
{
    m_asks.answerWaiting();
}

Result<peer::ListingsAsk> ListingsRelay::takeAsk(std::string_view body)
{
    const auto message = peer::decodeListings(body);
    if (!message || !std::holds_alternative<peer::ListingsAsk>(*message)) {
        return failure(ErrorCode::Corrupt, "no ask for listings");
    }
    const auto &ask = std::get<peer::ListingsAsk>(*message);
    if (!ask.entryVm.empty()) {
        const Millis now = bootMillis();
        m_entryVms[ask.entryVm] = now;
        std::erase_if(m_entryVms, [&](const auto &item) { return now - item.second > EntryVmLifetime; });
    }
    return ask;
}

bool ListingsRelay::isDue(const peer::ListingsAsk &ask) const
{
    if (m_cache.since < 0 || m_cache.end < ask.from) {
        return false;
    }
    return !covers(m_cache, ask.from) || !changesFrom(m_cache, ask.from).empty();
}

std::vector<std::string> ListingsRelay::entryVms(Millis now) const
{
    std::vector<std::string> out;
    for (const auto &[vm, askedAt] : m_entryVms) {
        if (now - askedAt <= EntryVmLifetime) {
            out.push_back(vm);
        }
    }
    return out;
}

peer::ListingsUpdate ListingsRelay::answerTo(const peer::ListingsAsk &ask, Millis held) const
{
    const Millis now = bootMillis();
    const bool known = m_cache.since >= 0;
    peer::ListingsUpdate out{.sequence = ask.sequence,
                             .end = m_cache.end,
                             .whole = known && !covers(m_cache, ask.from),
                             .held = held,
                             .age = known ? now - m_cache.asOf : UnknownAge,
                             .storeBack = {},
                             .listings = {},
                             .operators = m_level(),
                             .entryVms = entryVms(now)};
    if (m_storeBackAt) {
        out.storeBack = now - *m_storeBackAt;
    }
    if (known) {
        out.listings = out.whole ? allListings(m_cache) : changesFrom(m_cache, ask.from);
    }
    return out;
}

} // namespace ibislock::feed
