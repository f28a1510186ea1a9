#include "ibislock/feed/listings_relay.h"

namespace ibislock::feed
{

namespace
{

/// The age that is reported while no listings are known.
constexpr Millis UnknownAge{std::chrono::hours{24}};

/// How long after its last request an entry VM is reported to others; it sends one every second or two.
constexpr Millis EntryVmLifetime{4000};

/// Entry VMs of a failure domain that are remembered; far more than a domain has.
constexpr std::size_t MaxEntryVms = 1024;

} // namespace

ListingsRelay::ListingsRelay(asio::io_context &loop, const ListingsCache &cache,
                             std::function<peer::TopicWatermark()> watermark,
                             std::function<std::vector<peer::TopicRecord>(std::int64_t era)> lostRecords,
                             const LongPollLimits &limits)
    : m_cache(cache)
    , m_ownWatermark(std::move(watermark))
    , m_lostRecords(std::move(lostRecords))
    , m_server(loop,
               {.decode = [this](std::string_view body) { return decodeRequest(body); },
                .isReady = [this](const peer::ListingsRequest &request) { return isReady(request); },
                .makeResponse =
                    [this](const peer::ListingsRequest &request, Millis heldFor) {
                        return encode(makeResponse(request, heldFor));
                    }},
               limits)
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
        return failure(ErrorCode::Corrupt, "not a request for listings");
    }
    const auto &request = std::get<peer::ListingsRequest>(*message);
    if (!request.entryVm.empty()) {
        asio::error_code ec;
        asio::ip::make_address_v4(request.entryVm, ec);
        if (ec) {
            return failure(ErrorCode::Corrupt, "not the address of a VM");
        }
        const Millis now = bootMillis();
        if (m_entryVms.contains(request.entryVm) || m_entryVms.size() < MaxEntryVms) {
            m_entryVms[request.entryVm] = now;
        }
        std::erase_if(m_entryVms, [&](const auto &item) { return now - item.second > EntryVmLifetime; });
    }
    return request;
}

bool ListingsRelay::isReady(const peer::ListingsRequest &request) const
{
    if (!m_cache.coveredFrom.isKnown() || m_cache.end < request.from) {
        return false;
    }
    return request.wantsLostRecords || !covers(m_cache, request.from) || !changesFrom(m_cache, request.from).empty();
}

std::vector<std::string> ListingsRelay::recentEntryVms() const
{
    const Millis now = bootMillis();
    std::vector<std::string> out;
    for (const auto &[vm, requestedAt] : m_entryVms) {
        if (now - requestedAt <= EntryVmLifetime) {
            out.push_back(vm);
        }
    }
    return out;
}

peer::ListingsUpdate ListingsRelay::makeResponse(const peer::ListingsRequest &request, Millis heldFor) const
{
    const Millis now = bootMillis();
    const bool hasListings = m_cache.coveredFrom.isKnown();
    peer::ListingsUpdate out{.sequence = request.sequence,
                             .end = m_cache.end,
                             .isSnapshot = hasListings && !covers(m_cache, request.from),
                             .heldFor = heldFor,
                             .age = hasListings ? now - m_cache.asOf : UnknownAge,
                             .sinceStoreRecovery = {},
                             .listings = {},
                             .operatorsWatermark = m_ownWatermark(),
                             .entryVms = recentEntryVms(),
                             .lostRecords = {}};
    if (request.wantsLostRecords && m_lostRecords) {
        out.lostRecords = m_lostRecords(request.from.era);
    }
    if (m_storeRecoveredAt) {
        out.sinceStoreRecovery = now - *m_storeRecoveredAt;
    }
    if (hasListings) {
        out.listings = out.isSnapshot ? allListings(m_cache) : changesFrom(m_cache, request.from);
        shortenColdTimes(out.listings, m_cache, steadyMillis());
    }
    return out;
}

} // namespace ibislock::feed
