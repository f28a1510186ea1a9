#include "ibislock/feed/topic_poll.h"

#include "ibislock/feed/topic_feed.h"

namespace ibislock::feed
{

namespace
{

constexpr int OkStatus = 200;

/// How long a pooled connection to the store may have been idle.
constexpr Millis MaxIdle{30000};

} // namespace

TopicPoll::TopicPoll(net::HttpClient &client, platform::Endpoint store, std::string topic, TopicPollEvents events)
    : m_client(client)
    , m_store(std::move(store))
    , m_topic(std::move(topic))
    , m_events(std::move(events))
{
}

TopicPoll::~TopicPoll()
{
    cancel();
}

void TopicPoll::start(const TopicPosition &from, Millis timeout, bool newConnection)
{
    cancel();
    ++m_calls;
    m_active = true;
    m_startedAt = bootMillis();
    const platform::ApiRequest request = platform::makeReadRequest(m_topic, from.offset, Millis{0});
    http::RequestHead head = request.head;
    head.headers.add("Host", m_store.ip);
    m_exchange =
        m_client.call(m_store.ip, m_store.port, writeRequest(head, request.body),
                      {.connectTimeout = timeout,
                       .timeout = timeout,
                       .stallTimeout = timeout,
                       .totalTimeout = timeout * 2,
                       .newConnection = newConnection || m_lastFailed,
                       .maxIdle = MaxIdle},
                      [this, from, generation = m_generation](
                          net::ExchangeOutcome outcome, const http::ResponseHead &response, const std::string &body) {
                          if (generation == m_generation) {
                              finish(outcome, response, body, from);
                          }
                      });
}

void TopicPoll::cancel()
{
    ++m_generation;
    m_active = false;
    if (m_exchange) {
        m_exchange->cancel();
        m_exchange.reset();
    }
}

bool TopicPoll::isActive() const
{
    return m_active;
}

std::uint64_t TopicPoll::calls() const
{
    return m_calls;
}

std::uint64_t TopicPoll::failures() const
{
    return m_failures;
}

Millis TopicPoll::lastUnreachableAt() const
{
    const bool overdue = m_active && bootMillis() - m_startedAt >= ResponseOverdueTime;
    return overdue ? m_startedAt : m_lastFailedAt;
}

void TopicPoll::finish(net::ExchangeOutcome outcome, const http::ResponseHead &response, const std::string &body,
                       const TopicPosition &from)
{
    m_active = false;
    if (outcome != net::ExchangeOutcome::Complete) {
        fail(nameOf(net::ExchangeOutcomeNames, outcome));
        return;
    }
    const auto era = platform::decodeEra(response);
    if (!era || *era < from.era) {
        fail("an earlier era of the store");
        return;
    }
    if (*era > from.era || response.status == platform::TrimmedStatus) {
        reportPositionGone(*era > from.era ? "the store was restored" : "records were dropped");
        return;
    }
    if (response.status != OkStatus) {
        fail("status " + std::to_string(response.status));
        return;
    }
    const auto page = platform::decodeReadPage(body, from);
    if (!page) {
        fail(page.error().message);
        return;
    }
    if (page->end < from) {
        reportPositionGone("the topic ends before the offset");
        return;
    }
    m_lastFailed = false;
    m_events.onPage(*page, m_startedAt);
}

void TopicPoll::reportPositionGone(std::string_view cause)
{
    m_lastFailed = false;
    m_events.onPositionGone(cause);
}

void TopicPoll::fail(std::string_view cause)
{
    m_lastFailed = true;
    m_lastFailedAt = m_startedAt;
    ++m_failures;
    m_events.onFailure(cause);
}

} // namespace ibislock::feed
