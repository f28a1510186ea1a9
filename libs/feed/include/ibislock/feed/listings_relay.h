// Answers requests of other VMs for listings of targets from the cache of this VM.
//
//     ListingsRelay relay(loop, cache, watermark);
//     relay.open("10.0.0.1", 7715);
//     relay.completePending();            // after each change of the cache

#pragma once

#include "ibislock/feed/listings_cache.h"
#include "ibislock/feed/long_poll_server.h"

namespace ibislock::feed
{

/// Serves the cached listings to other VMs.
class ListingsRelay
{
public:
    /// @param cache is read for each response; must outlive the relay.
    /// @param watermark returns the watermark of the operators' topic; called for each response.
    /// @param lostRecords returns the records of the operators' topic for a VM that has just started; may be empty.
    /// @param limits of connections and of what is queued on them.
    ListingsRelay(asio::io_context &loop, const ListingsCache &cache, std::function<peer::TopicWatermark()> watermark,
                  std::function<std::vector<peer::TopicRecord>(std::int64_t era)> lostRecords,
                  const LongPollLimits &limits = {});

    /// Starts to listen.
    /// @return an empty code, or why the address can't be listened on.
    asio::error_code open(const std::string &ip, std::uint16_t port);

    /// Answers the pending requests for which there are changes now or whose time limit has ended.
    void completePending();

    /// Records when a store outage ended, which is reported to requesting VMs.
    /// @param at the end of the outage, by the boot clock.
    void recordStoreRecovery(Millis at);

    /// Returns the addresses of the entry VMs that recently sent requests.
    std::vector<std::string> recentEntryVms() const;

    /// Returns the number of requests that were answered.
    std::uint64_t responsesSent() const;

private:
    Result<peer::ListingsRequest> decodeRequest(std::string_view body);
    bool isReady(const peer::ListingsRequest &request) const;
    peer::ListingsUpdate makeResponse(const peer::ListingsRequest &request, Millis heldFor) const;

    const ListingsCache &m_cache;
    std::function<peer::TopicWatermark()> m_ownWatermark;
    std::function<std::vector<peer::TopicRecord>(std::int64_t era)> m_lostRecords;
    LongPollServer<peer::ListingsRequest> m_server;
    std::map<std::string, Millis, std::less<>> m_entryVms; ///< The time of the last request, by address; boot clock.
    std::optional<Millis> m_storeRecoveredAt;
};

} // namespace ibislock::feed
