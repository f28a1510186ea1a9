// Follows the operators' topic. A VM that hears of news asks an entry VM of its failure domain for them, and the store
// only if it stands first in the domain's order or none of those it asks has them. So a state crosses the links between
// regions a few times and not once for each VM, and reaches VMs that the store turns away.
//
//     OperatorsFollower follower(loop, client, store, {.ip = "10.0.0.1", .port = 7715, .entryVm = true}, events);
//     follower.start();
//     follower.takeLevel(level);         // what other VMs tell

#pragma once

#include "ibislock/feed/long_poll_server.h"
#include "ibislock/feed/operators_watermark.h"
#include "ibislock/feed/peer_client.h"
#include "ibislock/feed/records_cache.h"
#include "ibislock/feed/topic_feed.h"
#include "ibislock/peer/records.h"

#include <map>

namespace ibislock::feed
{

/// How the topic is followed.
struct OperatorsFollowerOptions
{
    std::string ip; ///< Of this VM.
    std::uint16_t port = 0; ///< At which entry VMs are asked.
    bool isEntryVm = false; ///< Answers others there.
    Millis stateTime{2000}; ///< In which a desired state must be in force.
};

/// The follower.
class OperatorsFollower
{
public:
    OperatorsFollower(asio::io_context &loop, net::HttpClient &client, platform::Endpoint store,
                      OperatorsFollowerOptions options, FeedEvents events);

    /// Begins.
    /// @return nothing, or what failed.
    asio::error_code start();

    /// Notes which entry VMs there are in the failure domain.
    /// @param vms their addresses.
    void setEntryVms(std::vector<std::string> vms);

    /// Notes where the topic ended as another VM knows it; what is behind is asked for.
    /// @param end up to which this VM wants to know the topic; no more than what the level tells.
    void applyWatermark(const OperatorsWatermark &watermark, std::int64_t end);

    /// Leaves it to other VMs to ask the store for news, or not any more.
    void setPassive(bool passive);

    /// What is read from the store, and how.
    const TopicFeed &feed() const;

    /// How often records were taken over from other VMs, VMs that were asked had none, and others were answered.
    std::uint64_t peerUpdatesApplied() const;
    std::uint64_t failedRequests() const;
    std::uint64_t responsesSent() const;

private:
    FeedEvents withCache(FeedEvents events);
    std::vector<std::string> sources() const;
    void requestNext();
    void awaitResponse(Millis time);
    void handleFrame(const std::string &body);
    void applyUpdate(const peer::RecordsUpdate &update);
    void failOver(std::string_view cause);
    Millis fractionOfStateTime(double fraction) const;

    OperatorsFollowerOptions m_options;
    RecordsCache m_cache; ///< Kept by entry VMs only; others are not asked.
    bool m_storeUnreachable = false; ///< The store can't be read.
    bool m_passive = false;
    TopicFeed m_feed;
    LongPollServer<peer::RecordsRequest> m_server;
    PeerClient m_sourceClient;
    net::Timer m_timer;
    std::vector<std::string> m_entryVms;
    std::map<std::string, Millis, std::less<>> m_avoidedUntil; ///< VMs that gave no answer; monotonic time.
    std::vector<std::string> m_sources; ///< Of the present ask.
    std::size_t m_sourceIndex = 0; ///< The place among them.
    bool m_requesting = false;
    std::int64_t m_wantedEnd = -1; ///< The end that is asked for.
    Millis m_wantedAsOf{0}; ///< When the topic ended there, by the boot clock.
    std::uint32_t m_sequence = 0;
    std::uint64_t m_peerUpdatesApplied = 0;
    std::uint64_t m_failedRequests = 0;
};

} // namespace ibislock::feed
