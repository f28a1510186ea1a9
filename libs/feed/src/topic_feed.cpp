#include "ibislock/feed/topic_feed.h"

#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::feed
{

namespace
{

constexpr int OkStatus = 200;

/// How often a lazy feed looks whether it was confirmed, in the time for which it relies on a confirmation.
constexpr int LooksInLazyTime = 8;

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

std::uint64_t TopicFeed::cancelledCalls() const
{
    return m_givenUp;
}

Millis TopicFeed::lagTime() const
{
    return m_behindSince ? bootMillis() - *m_behindSince : Millis{0};
}

Millis TopicFeed::maxLagTime() const
{
    return std::max(m_longestBehind, lagTime());
}

void TopicFeed::recordKnownEnd(std::int64_t end)
{
    m_knownEnd = std::max(m_knownEnd, end);
    if (m_synchronized && m_next < m_knownEnd && !m_behindSince) {
        m_behindSince = bootMillis();
    }
}

void TopicFeed::advance(std::int64_t next)
{
    m_next = next;
    if (m_next >= m_knownEnd) {
        m_longestBehind = maxLagTime();
        m_behindSince.reset();
    }
}

bool TopicFeed::synchronized() const
{
    return m_synchronized;
}

void TopicFeed::later(Millis time, void (TopicFeed::*step)())
{
    m_timer.start(time, [this, step] { (this->*step)(); });
}

void TopicFeed::failed(std::string_view what, void (TopicFeed::*again)())
{
    ++m_failures;
    if (!m_away) {
        m_away = true;
        logWarning(LogComponent::Store, "The store was lost.",
                   {{"topic", m_options.topic}, {"cause", std::string(what)}});
        m_events.onStoreOutage(true);
    } else {
        logInfo(LogComponent::Store, "A call to the store failed again.",
                {{"topic", m_options.topic},
                 {"cause", std::string(what)},
                 {"offset", std::to_string(m_next)},
                 {"behind_ms", std::to_string(lagTime().count())}});
    }
    m_patience = std::min(m_patience + FirstByteTimeout, MaxFirstByteTimeout);
    later(jittered(m_random, m_backOff), again);
    m_backOff = std::min(m_backOff * 2, MaxBackoff);
}

void TopicFeed::succeeded()
{
    m_backOff = InitialBackoff;
    m_patience = FirstByteTimeout;
    if (m_away) {
        m_away = false;
        logInfo(LogComponent::Store, "The store is back.", {{"topic", m_options.topic}});
        m_events.onStoreOutage(false);
    }
}

void TopicFeed::call(const platform::ApiRequest &request, Millis timeout, void (TopicFeed::*again)(),
                     std::function<void(int status, const std::string &body)> done)
{
    ++m_calls;
    m_timer.cancel();
    m_calling = true;
    m_calledAt = steadyMillis();
    m_calledAtBoot = bootMillis();
    const std::uint64_t round = ++m_round;
    http::RequestHead head = request.head;
    head.headers.add("Host", m_store.ip);
    m_exchange =
        m_client.call(m_store.ip, m_store.port, writeRequest(head, request.body),
                      {.connectTimeout = FirstByteTimeout,
                       .timeout = timeout,
                       .stallTimeout = FirstByteTimeout,
                       .totalTimeout = timeout + MaxResponseTime,
                       .maxIdle = Millis{30000}},
                      [this, round, again, done = std::move(done)](
                          net::ExchangeOutcome end, const http::ResponseHead &answer, const std::string &body) {
                          if (round != m_round) {
                              return;
                          }
                          m_calling = false;
                          if (end != net::ExchangeOutcome::Complete) {
                              failed(nameOf(net::ExchangeOutcomeNames, end), again);
                              return;
                          }
                          done(answer.status, body);
                      });
}

void TopicFeed::setPassive(bool lazy)
{
    m_lazy = lazy;
}

void TopicFeed::markValidated(Millis asOf)
{
    m_confirmedAt = std::max(m_confirmedAt, asOf);
}

void TopicFeed::readLater(Millis pause)
{
    const bool confirmed = m_lazy && bootMillis() - m_confirmedAt < m_options.validityTime;
    if (confirmed) {
        readIfUnconfirmed();
    } else {
        later(pause, &TopicFeed::readOn);
    }
}

void TopicFeed::readIfUnconfirmed()
{
    if (!m_lazy || bootMillis() - m_confirmedAt >= m_options.validityTime) {
        readOn();
        return;
    }
    // Drawn, so that VMs that lost the same informant do not turn to the store together.
    later(jittered(m_random, m_options.validityTime / LooksInLazyTime), &TopicFeed::readIfUnconfirmed);
}

void TopicFeed::tellLevel()
{
    // A read that was held back for all of its time has shown that nothing came meanwhile; one that was held back is
    // answered as soon as something comes.
    const Millis now = bootMillis();
    const Millis answeredAt = now - m_calledAtBoot >= m_heldFor ? m_calledAtBoot + m_heldFor : now - MaxResponseTransit;
    const Millis asOf = m_heldFor > Millis{0} ? std::max(m_calledAtBoot, answeredAt) : m_calledAtBoot;
    if (m_events.onWatermark) {
        m_events.onWatermark(asOf);
    }
}

void TopicFeed::abandonCall()
{
    ++m_round;
    m_calling = false;
    m_timer.cancel();
    if (m_exchange) {
        m_exchange->cancel();
    }
    m_pages.clear();
    m_snapshotEnd = -1;
    m_newest = false;
}

bool TopicFeed::applyRecords(std::vector<platform::KeyedRecord> records, std::int64_t end, Millis asOf)
{
    if (!m_synchronized || end <= m_next) {
        return false;
    }
    abandonCall(); // It began at an earlier offset.
    takeNewest(std::move(records), end);
    markValidated(asOf);
    if (m_events.onWatermark) {
        m_events.onWatermark(asOf);
    }
    if (m_away) {
        later(jittered(m_random, m_backOff), &TopicFeed::readOn);
    } else {
        readLater(m_options.minReadInterval);
    }
    return true;
}

void TopicFeed::suspend()
{
    abandonCall();
    succeeded(); // The topic is followed elsewhere, so the store is not lost to this VM.
}

void TopicFeed::resume(std::int64_t next)
{
    advance(next);
    readOn();
}

std::int64_t TopicFeed::nextOffset() const
{
    return m_next;
}

void TopicFeed::notifyNewRecords(std::int64_t end)
{
    recordKnownEnd(end);
    // One early read for each hint: if the store itself does not show the records, the usual pace goes on. A read that
    // has just begun will bring them; giving it up for each of many hints would never end.
    const bool justBegun = steadyMillis() - m_calledAt < MinCancelAge;
    const bool answering = m_exchange && m_exchange->isReceivingResponse();
    // A read that the store does not hold back brings all that there is; over a full link its answer takes its time.
    const bool onItsWay = m_calling && m_heldFor == Millis{0};
    if (!m_synchronized || end <= m_next || end <= m_hinted || justBegun || answering || onItsWay) {
        return;
    }
    m_hinted = end;
    m_hintPending = true;
    logInfo(LogComponent::Store, "Another VM has read on; reading at once.",
            {{"topic", m_options.topic}, {"offset", std::to_string(m_next)}, {"end", std::to_string(end)}});
    m_timer.cancel();
    if (m_exchange) {
        m_givenUp += m_calling ? 1 : 0;
        m_exchange->cancel();
    }
    if (m_options.newestOnly && end - m_next > 1) {
        readNewest();
    } else {
        readOn();
    }
}

void TopicFeed::readSnapshot()
{
    const std::string after = m_pages.empty() ? "" : m_pages.back().key;
    m_heldFor = Millis{0};
    call(platform::makeSnapshotRequest(m_options.topic, after), m_patience, &TopicFeed::readSnapshot,
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
    auto page = platform::decodeSnapshotPage(body);
    if (!page) {
        failed(page.error().message, &TopicFeed::readSnapshot);
        return;
    }
    if (m_snapshotEnd < 0) {
        m_snapshotEnd =
            page->endOffset; // Pages are read one after another: what changes meanwhile is read again below.
    }
    std::move(page->records.begin(), page->records.end(), std::back_inserter(m_pages));
    if (page->hasMore && !page->records.empty()) {
        readSnapshot();
        return;
    }
    succeeded();
    if (std::exchange(m_newest, false) && m_snapshotEnd >= m_next) {
        takeNewest(std::exchange(m_pages, {}), std::exchange(m_snapshotEnd, -1));
    } else {
        m_knownEnd = m_snapshotEnd; // The topic may have begun anew.
        advance(std::exchange(m_snapshotEnd, -1));
        m_synchronized = true;
        m_events.onSnapshot(std::exchange(m_pages, {}));
    }
    tellLevel();
    readLater(m_options.minReadInterval);
}

void TopicFeed::readNewest()
{
    m_newest = true;
    readSnapshot();
}

void TopicFeed::takeNewest(std::vector<platform::KeyedRecord> records, std::int64_t end)
{
    std::erase_if(records, [&](const platform::KeyedRecord &record) { return record.offset < m_next; });
    std::sort(records.begin(), records.end(),
              [](const platform::KeyedRecord &a, const platform::KeyedRecord &b) { return a.offset < b.offset; });
    advance(std::max(m_next, end));
    for (const platform::KeyedRecord &record : records) {
        m_events.onRecord(record);
    }
}

void TopicFeed::readOn()
{
    // A store that was lost may be silent still: a read that it holds back could not be told from one that it ignores.
    const bool hinted = std::exchange(m_hintPending, false);
    const Millis wait =
        m_away || hinted ? Millis{0} : (m_lazy ? m_options.passiveLongPollTime : m_options.longPollTime);
    m_heldFor = wait;
    call(platform::makeReadRequest(m_options.topic, m_next, wait), wait + m_patience, &TopicFeed::readOn,
         [this](int status, const std::string &body) {
             if (status == platform::TrimmedStatus) {
                 logInfo(LogComponent::Store, "The store dropped records that were not read; starting over.",
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
    const auto page = platform::decodeReadPage(body, m_next);
    if (!page) {
        failed(page.error().message, &TopicFeed::readOn);
        return;
    }
    if (page->endOffset < m_next) {
        logWarning(
            LogComponent::Store, "The store ends before what was read; starting over.",
            {{"topic", m_options.topic}, {"offset", std::to_string(m_next)}, {"end", std::to_string(page->endOffset)}});
        readSnapshot();
        return;
    }
    succeeded();
    advance(page->nextOffset);
    for (const platform::KeyedRecord &record : page->records) {
        m_events.onRecord(record);
    }
    if (page->nextOffset < page->endOffset) {
        later(m_options.minReadInterval, &TopicFeed::readOn);
        return;
    }
    tellLevel();
    readLater(std::max(Millis{0}, m_options.minReadInterval - (steadyMillis() - m_calledAt)));
}

} // namespace ibislock::feed
