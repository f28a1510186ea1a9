// Reads a topic of the platform's store once, without waiting for records. Used beside a source that is late; follow a
// topic with `TopicFeed`.
//
//     TopicPoll poll(client, store, platform::TargetsTopic,
//                    {.onPage = [](const platform::ReadPage &page, Millis asOf) {...},
//                     .onFailure = [](std::string_view cause) {...}});
//     poll.start(position, Millis{400});

#pragma once

#include "ibislock/net/http_client.h"
#include "ibislock/platform/settings.h"
#include "ibislock/platform/store_api.h"

namespace ibislock::feed
{

/// Callbacks of a poll; one of them is called for each read that isn't cancelled.
struct TopicPollEvents
{
    /// @param asOf when the topic ended at the end of the page or later, by the boot clock.
    std::function<void(const platform::ReadPage &page, Millis asOf)> onPage;
    /// The store didn't respond in time, refused the read, or responded in an earlier era.
    std::function<void(std::string_view cause)> onFailure;
    /// The store has no records from the position on: it dropped some of them, was restored, or the topic was
    /// recreated.
    std::function<void(std::string_view cause)> onPositionGone;
};

/// Reads one topic on request.
class TopicPoll
{
public:
    TopicPoll(net::HttpClient &client, platform::Endpoint store, std::string topic, TopicPollEvents events);
    ~TopicPoll();
    TopicPoll(const TopicPoll &) = delete;
    TopicPoll &operator=(const TopicPoll &) = delete;

    /// Reads the records from a position on. After a failure a new connection is used, as the old one may be dead.
    /// @param timeout limit of the time to the first byte of the response, and of each pause within it.
    /// @param newConnection whether a new connection is used in any case.
    void start(const TopicPosition &from, Millis timeout, bool newConnection = false);

    /// Cancels the read under way; no callback is called for it.
    void cancel();

    /// Returns whether a read is under way.
    bool isActive() const;

    /// Returns the number of reads.
    std::uint64_t calls() const;

    /// Returns the number of reads that failed.
    std::uint64_t failures() const;

    /// As `TopicFeed::lastUnreachableAt`.
    Millis lastUnreachableAt() const;

private:
    void finish(net::ExchangeOutcome outcome, const http::ResponseHead &response, const std::string &body,
                const TopicPosition &from);
    void fail(std::string_view cause);
    void reportPositionGone(std::string_view cause);

    net::HttpClient &m_client;
    platform::Endpoint m_store;
    std::string m_topic;
    TopicPollEvents m_events;
    std::shared_ptr<net::Exchange> m_exchange; ///< The exchange of the read under way.
    bool m_active = false; ///< A read is under way.
    Millis m_startedAt{0}; ///< When the read under way started, by the boot clock.
    bool m_lastFailed = false;
    Millis m_lastFailedAt{0}; ///< When the last read that failed was started, by the boot clock.
    std::uint64_t m_generation = 0; ///< Identifies the current read; responses to earlier ones are ignored.
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
};

} // namespace ibislock::feed
