// Answers other VMs that ask for listings of targets, from what this VM knows.
//
//     ListingsRelay relay(loop, cache);
//     relay.open("10.0.0.1", 7715);
//     relay.answerWaiting();              // after each change of the cache

#pragma once

#include "ibislock/feed/listings_cache.h"
#include "ibislock/feed/long_poll_server.h"

namespace ibislock::feed
{

/// The relay.
class ListingsRelay
{
public:
    /// @param cache is read for each answer; outlives the relay.
    /// @param level is asked for each answer.
    ListingsRelay(asio::io_context &loop, const ListingsCache &cache, std::function<peer::TopicWatermark()> watermark);

    /// Begins to listen.
    /// @return nothing, or what failed.
    asio::error_code open(const std::string &ip, std::uint16_t port);

    /// Answers those whose changes are known now, and those who have waited for long enough.
    void completePending();

    /// Notes that the store came back from an outage, by the boot clock.
    void recordStoreRecovery(Millis at);

    /// How many asks have been answered.
    std::uint64_t responsesSent() const;

private:
    Result<peer::ListingsRequest> decodeRequest(std::string_view body);
    bool isReady(const peer::ListingsRequest &request) const;
    peer::ListingsUpdate makeResponse(const peer::ListingsRequest &request, Millis heldFor) const;
    std::vector<std::string> recentEntryVms(Millis now) const;

    const ListingsCache &m_cache;
    std::function<peer::TopicWatermark()> m_ownWatermark;
    LongPollServer<peer::ListingsRequest> m_server;
    std::map<std::string, Millis, std::less<>> m_entryVms; ///< When they asked last, by the boot clock.
    std::optional<Millis> m_storeRecoveredAt;
};

} // namespace ibislock::feed
