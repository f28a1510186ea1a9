#include "ibislock/feed/topic_feed.h"

#include "ibislock/base/log.h"

namespace ibislock::feed
{

namespace
{

constexpr int OkStatus = 200;

} // namespace

TopicFeed::TopicFeed(asio::io_context &loop, net::HttpClient &client, platform::Endpoint store, FeedOptions options,
                     FeedEvents events)
    : m_client(client)
    , m_store(std::move(store))
    , m_options(std::move(options))
    , m_events(std::move(events))
    , m_timer(loop)
    , m_random(systemRandom())
{
}

void TopicFeed::start()
{
    readSnapshot();
}

std::uint64_t TopicFeed::calls() const
{
    return m_calls;
}

std::uint64_t TopicFeed::failures() const
{
    return m_failures;
}

bool TopicFeed::synchronized() const
{
    return m_synchronized;
}

void TopicFeed::later(Millis time, void (TopicFeed::*step)())
{
    // A wait that has ended may still be queued when another step begins; its round tells that it is over.
    m_timer.expires_after(time);
    m_timer.async_wait([this, step, round = ++m_round](const asio::error_code &ec) {
        if (!ec && round == m_round) {
            (this->*step)();
        }
    });
}

void TopicFeed::failed(std::string_view what, void (TopicFeed::*again)())
{
    ++m_failures;
    if (!m_away) {
        m_away = true;
        logWarning(Part::Store, "The store was lost.", {{"topic", m_options.topic}, {"cause", std::string(what)}});
        m_events.store(true);
    }
    later(jittered(m_random, m_backOff), again);
    m_backOff = std::min(m_backOff * 2, LongestBackOff);
}

void TopicFeed::succeeded()
{
    m_backOff = FirstBackOff;
    if (m_away) {
        m_away = false;
        logInfo(Part::Store, "The store is back.", {{"topic", m_options.topic}});
        m_events.store(false);
    }
}

void TopicFeed::call(const platform::ApiRequest &request, Millis timeout, void (TopicFeed::*again)(),
                     std::function<void(int status, const std::string &body)> done)
{
    ++m_calls;
    m_calledAt = steadyMillis();
    const std::uint64_t round = ++m_round;
    http::RequestHead head = request.head;
    head.headers.add("Host", m_store.ip);
    m_exchange = m_client.call(m_store.ip, m_store.port, writeRequest(head, request.body),
                               {.connectTime = CallTime,
                                .timeout = timeout,
                                .stall = CallTime,
                                .longest = timeout + LongestAnswer,
                                .maxIdle = Millis{30000}},
                               [this, round, again, done = std::move(done)](
                                   net::ExchangeEnd end, const http::ResponseHead &answer, const std::string &body) {
                                   if (round != m_round) {
                                       return;
                                   }
                                   if (end != net::ExchangeEnd::Complete) {
                                       failed(nameOf(net::ExchangeEndNames, end), again);
                                       return;
                                   }
                                   done(answer.status, body);
                               });
}

std::int64_t TopicFeed::next() const
{
    return m_next;
}

void TopicFeed::hint(std::int64_t end)
{
    // One early read for each hint: if the store itself does not show the records, the usual pace goes on. A read that
    // has just begun will bring them; giving it up for each of many hints would never end.
    const bool justBegun = steadyMillis() - m_calledAt < PatientTime;
    const bool answering = m_exchange && m_exchange->isAnswering();
    if (!m_synchronized || end <= m_next || end <= m_hinted || justBegun || answering) {
        return;
    }
    m_hinted = end;
    logInfo(Part::Store, "Another VM has read on; reading at once.",
            {{"topic", m_options.topic}, {"offset", std::to_string(m_next)}, {"end", std::to_string(end)}});
    m_timer.cancel();
    if (m_exchange) {
        m_exchange->cancel();
    }
    readOn();
}

void TopicFeed::readSnapshot()
{
    const std::string after = m_pages.empty() ? "" : m_pages.back().key;
    call(platform::snapshotRequest(m_options.topic, after), CallTime, &TopicFeed::readSnapshot,
         [this](int status, const std::string &body) {
             if (status != OkStatus) {
                 failed("status " + std::to_string(status), &TopicFeed::readSnapshot);
                 return;
             }
             takeSnapshotPage(body);
         });
}

void TopicFeed::takeSnapshotPage(const std::string &body)
{
    auto page = platform::decodeSnapshot(body);
    if (!page) {
        failed(page.error().message, &TopicFeed::readSnapshot);
        return;
    }
    if (m_snapshotEnd < 0) {
        m_snapshotEnd = page->end; // Pages are read one after another: what changes meanwhile is read again below.
    }
    std::move(page->records.begin(), page->records.end(), std::back_inserter(m_pages));
    if (page->more && !page->records.empty()) {
        readSnapshot();
        return;
    }
    succeeded();
    m_next = std::exchange(m_snapshotEnd, -1);
    m_synchronized = true;
    m_events.snapshot(std::exchange(m_pages, {}));
    later(m_options.pause, &TopicFeed::readOn);
}

void TopicFeed::readOn()
{
    // A store that was lost may be silent still: a read that it holds back could not be told from one that it ignores.
    const Millis wait = m_away ? Millis{0} : m_options.wait;
    call(platform::readRequest(m_options.topic, m_next, wait), wait + CallTime, &TopicFeed::readOn,
         [this](int status, const std::string &body) {
             if (status == platform::TrimmedStatus) {
                 logInfo(Part::Store, "The store dropped records that were not read; starting over.",
                         {{"topic", m_options.topic}, {"offset", std::to_string(m_next)}});
                 readSnapshot();
             } else if (status != OkStatus) {
                 failed("status " + std::to_string(status), &TopicFeed::readOn);
             } else {
                 takeRecords(body);
             }
         });
}

void TopicFeed::takeRecords(const std::string &body)
{
    const auto page = platform::decodeRead(body, m_next);
    if (!page) {
        failed(page.error().message, &TopicFeed::readOn);
        return;
    }
    if (page->end < m_next) {
        logWarning(
            Part::Store, "The store ends before what was read; starting over.",
            {{"topic", m_options.topic}, {"offset", std::to_string(m_next)}, {"end", std::to_string(page->end)}});
        readSnapshot();
        return;
    }
    succeeded();
    m_next = page->next;
    for (const platform::KeyedRecord &record : page->records) {
        m_events.record(record);
    }
    later(m_options.pause, &TopicFeed::readOn);
}

} // namespace ibislock::feed
