#include "ibislock/feed/topic_feed.h"

#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::feed
{

namespace
{

constexpr int OkStatus = 200;

/// How often a passive feed checks within `FeedOptions::validityTime` whether its data was validated again.
constexpr int ChecksPerValidityTime = 8;

/// How often a feed that is behind checks within `FeedOptions::validityTime` whether it may read; several times within
/// a turn.
constexpr int ChecksPerTurnTime = 24;

} // namespace

Millis holdTimeFor(Millis longest, Millis age)
{
    return std::clamp(longest - age, Millis{0}, longest);
}

TopicFeed::TopicFeed(asio::io_context &loop, net::HttpClient &client, platform::Endpoint store, FeedOptions options,
                     FeedEvents events)
    : m_client(client)
    , m_store(std::move(store))
    , m_options(std::move(options))
    , m_events(std::move(events))
    , m_timer(loop)
    , m_random(systemRandom())
    , m_repeatTimer(loop)
{
}

TopicFeed::~TopicFeed()
{
    cancelExchanges();
}

void TopicFeed::start()
{
    readSnapshot();
}

std::uint64_t TopicFeed::calls() const
{
    return m_calls;
}

std::uint64_t TopicFeed::bytesRead() const
{
    return m_bytesRead;
}

std::uint64_t TopicFeed::failures() const
{
    return m_failures;
}

std::uint64_t TopicFeed::restores() const
{
    return m_restores;
}

std::uint64_t TopicFeed::outdatedResponses() const
{
    return m_outdatedResponses;
}

std::uint64_t TopicFeed::repeatedCalls() const
{
    return m_repeatedCalls;
}

std::uint64_t TopicFeed::cancelledCalls() const
{
    return m_cancelledCalls;
}

bool TopicFeed::isBehind() const
{
    return m_lagSince.has_value();
}

Millis TopicFeed::lagTime() const
{
    return m_lagSince ? bootMillis() - *m_lagSince : Millis{0};
}

Millis TopicFeed::maxLagTime() const
{
    return std::max(m_maxLag, lagTime());
}

Millis TopicFeed::endKnownAt() const
{
    return m_endKnownAt;
}

void TopicFeed::recordKnownEnd(const TopicPosition &end)
{
    if (end > m_knownEnd) {
        m_knownEnd = end;
        m_knownEndGeneration = m_generation;
    }
    if (m_synchronized && m_position < m_knownEnd && !m_lagSince) {
        m_lagSince = bootMillis();
    }
}

void TopicFeed::advanceTo(const TopicPosition &position)
{
    m_position = position;
    if (m_position >= m_knownEnd) {
        m_maxLag = maxLagTime();
        m_lagSince.reset();
    }
}

void TopicFeed::forgetKnownEnd(std::uint64_t generation)
{
    if (m_position >= m_knownEnd || generation <= m_knownEndGeneration) {
        return;
    }
    logWarning(LogComponent::Store, "The store does not have the records that another VM reported.",
               {{"topic", m_options.topic}, {"offset", toText(m_position)}, {"end", toText(m_knownEnd)}});
    m_knownEnd = m_position;
    advanceTo(m_position);
}

bool TopicFeed::isUnreachable() const
{
    return m_storeUnreachable;
}

Millis TopicFeed::lastUnreachableAt() const
{
    const bool overdue = m_callActive && bootMillis() - m_callStartedAtBoot >= m_longPollTime + ResponseOverdueTime;
    return overdue ? m_callStartedAtBoot : m_lastFailedCallAt;
}

bool TopicFeed::isReadingSnapshot() const
{
    return m_readingSnapshot;
}

bool TopicFeed::synchronized() const
{
    return m_synchronized;
}

void TopicFeed::schedule(Millis delay, void (TopicFeed::*step)())
{
    m_timer.start(delay, [this, step] { (this->*step)(); });
}

void TopicFeed::recordFailure(std::string_view cause)
{
    ++m_failures;
    m_lastFailedCallAt = m_callStartedAtBoot;
    if (!m_storeUnreachable) {
        m_storeUnreachable = true;
        logWarning(LogComponent::Store, "The store is unreachable.",
                   {{"topic", m_options.topic}, {"cause", std::string(cause)}});
        m_events.onStoreOutage(true);
    } else {
        logInfo(LogComponent::Store, "A call to the store failed again.",
                {{"topic", m_options.topic},
                 {"cause", std::string(cause)},
                 {"offset", toText(m_position)},
                 {"behind_ms", std::to_string(lagTime().count())}});
    }
    m_firstByteTimeout = std::min(m_firstByteTimeout + FirstByteTimeout, MaxFirstByteTimeout);
}

void TopicFeed::handleFailure(std::string_view cause, void (TopicFeed::*retry)())
{
    recordFailure(cause);
    schedule(jittered(m_random, m_backoff), retry);
    m_backoff = std::min(m_backoff * 2, MaxBackoff);
}

void TopicFeed::handleSuccess()
{
    m_backoff = InitialBackoff;
    m_firstByteTimeout = FirstByteTimeout;
    if (m_storeUnreachable) {
        m_storeUnreachable = false;
        logInfo(LogComponent::Store, "The store is reachable again.", {{"topic", m_options.topic}});
        m_events.onStoreOutage(false);
    }
}

void TopicFeed::call(const platform::ApiRequest &request, Millis timeout, void (TopicFeed::*retry)(),
                     ResponseHandler done)
{
    m_timer.cancel();
    cancelExchanges();
    m_callActive = true;
    m_callStartedAt = steadyMillis();
    m_callStartedAtBoot = bootMillis();
    ++m_generation;
    http::RequestHead head = request.head;
    head.headers.add("Host", m_store.ip);
    m_callBytes = writeRequest(head, request.body);
    m_callTimeout = timeout;
    m_callRetry = retry;
    m_callDone = std::move(done);
    m_repeats = 0;
    sendCall();
    scheduleRepeat();
}

void TopicFeed::sendCall()
{
    struct Response
    {
        http::ResponseHead head;
        std::string body;
        const net::Exchange *exchange = nullptr;
    };
    ++m_calls;
    const std::uint64_t generation = m_generation;
    auto response = std::make_shared<Response>();
    const auto exchange =
        m_client.send(m_store.ip, m_store.port, m_callBytes,
                      {.connectTimeout = m_synchronized ? FirstByteTimeout : m_callTimeout,
                       .timeout = m_callTimeout,
                       .stallTimeout = FirstByteTimeout,
                       .totalTimeout = m_callTimeout + MaxResponseTime,
                       .maxIdle = Millis{30000}},
                      {.head =
                           [this, generation, response](const http::ResponseHead &head) {
                               response->head = head;
                               if (generation == m_generation) {
                                   cancelExchanges(response->exchange);
                               }
                               return net::HeadDecision::Accept;
                           },
                       .body =
                           [this, response](const std::string &part) {
                               m_bytesRead += part.size();
                               response->body.append(part);
                           },
                       .end =
                           [this, generation, response](const net::ExchangeResult &result) {
                               if (generation == m_generation) {
                                   onCallEnd(response->exchange, result.outcome, response->head, response->body);
                               }
                           }});
    response->exchange = exchange.get();
    m_exchanges.push_back(exchange);
}

void TopicFeed::scheduleRepeat()
{
    // A held read has no response until there is a record.
    const Millis time = m_synchronized ? m_options.repeatTime : FirstByteTimeout;
    if (time == Millis{0} || m_longPollTime > Millis{0} || m_repeats == MaxRepeats) {
        return;
    }
    m_repeatTimer.start(time, [this] {
        if (!m_callActive || isReceivingResponse()) {
            return;
        }
        if (isBehind() || !m_synchronized) {
            ++m_repeats;
            ++m_repeatedCalls;
            logInfo(LogComponent::Store, "A read of new records has no response; reading beside it.",
                    {{"topic", m_options.topic},
                     {"offset", toText(m_position)},
                     {"behind_ms", std::to_string(lagTime().count())}});
            sendCall();
        }
        scheduleRepeat();
    });
}

void TopicFeed::onCallEnd(const net::Exchange *exchange, net::ExchangeOutcome end, const http::ResponseHead &response,
                          const std::string &body)
{
    std::erase_if(m_exchanges, [&](const auto &item) { return item.get() == exchange; });
    const std::string_view cause = nameOf(net::ExchangeOutcomeNames, end);
    if (end != net::ExchangeOutcome::Complete && !m_exchanges.empty()) {
        recordFailure(cause); // The call goes on by its repetitions.
        return;
    }
    cancelExchanges();
    m_callActive = false;
    if (end != net::ExchangeOutcome::Complete) {
        handleFailure(cause, m_callRetry);
        return;
    }
    const auto era = eraOf(response);
    if (!era) {
        handleFailure(era.error().message, m_callRetry);
        return;
    }
    const ResponseHandler done = std::move(m_callDone); // It may start the next call.
    done(*era, response.status, body);
}

void TopicFeed::cancelExchanges(const net::Exchange *kept)
{
    m_repeatTimer.cancel();
    for (const auto &exchange : m_exchanges) {
        if (exchange.get() != kept) {
            exchange->cancel();
        }
    }
    std::erase_if(m_exchanges, [&](const auto &exchange) { return exchange.get() != kept; });
}

bool TopicFeed::isReceivingResponse() const
{
    return std::any_of(m_exchanges.begin(), m_exchanges.end(),
                       [](const auto &exchange) { return exchange->isReceivingResponse(); });
}

Result<std::int64_t> TopicFeed::eraOf(const http::ResponseHead &response)
{
    auto era = platform::decodeEra(response);
    const std::int64_t known = std::max(m_position.era, m_knownEnd.era);
    if (era && *era >= known) {
        return era;
    }
    ++m_outdatedResponses;
    logWarning(LogComponent::Store, "Ignored a response of the store from before it was restored.",
               {{"topic", m_options.topic},
                {"era", era ? std::to_string(*era) : "invalid"},
                {"known_era", std::to_string(known)}});
    return era ? failure(ErrorCode::Unavailable, "an earlier era") : era;
}

bool TopicFeed::isRestored(std::int64_t era) const
{
    return m_synchronized && era > m_position.era;
}

void TopicFeed::recordRestore(std::int64_t era)
{
    ++m_restores;
    logWarning(LogComponent::Store, "The store was restored from an older copy; reading all records again.",
               {{"topic", m_options.topic}, {"offset", toText(m_position)}, {"era", std::to_string(era)}});
}

void TopicFeed::setPassive(bool passive)
{
    const bool activated = m_passive && !passive;
    m_passive = passive;
    if (activated && m_synchronized && !m_callActive && !m_storeUnreachable) {
        schedule(Millis{0}, &TopicFeed::readUnlessValidated);
    }
}

void TopicFeed::markValidated(Millis asOf)
{
    m_validatedAt = std::max(m_validatedAt, asOf);
    m_endKnownAt = std::max(m_endKnownAt, asOf);
}

void TopicFeed::scheduleRead(Millis delay)
{
    const bool validated = m_passive && bootMillis() - m_validatedAt < m_options.validityTime;
    if (validated) {
        readUnlessValidated();
    } else {
        schedule(delay, &TopicFeed::readNext);
    }
}

void TopicFeed::readUnlessValidated()
{
    if (!m_passive || bootMillis() - m_validatedAt >= m_options.validityTime) {
        readNext();
        return;
    }
    // Randomized, so that VMs that lost the same source don't all read the store at once.
    schedule(jittered(m_random, m_options.validityTime / ChecksPerValidityTime), &TopicFeed::readUnlessValidated);
}

Millis TopicFeed::holdTime() const
{
    if (m_passive && m_options.validityTime == Millis{0}) {
        return m_options.passiveLongPollTime;
    }
    return holdTimeFor(m_passive ? m_options.passiveLongPollTime : m_options.longPollTime, bootMillis() - m_endKnownAt);
}

void TopicFeed::reportWatermark(Millis asOf)
{
    m_endKnownAt = std::max(m_endKnownAt, asOf);
    if (m_events.onWatermark) {
        m_events.onWatermark(asOf);
    }
}

void TopicFeed::cancelCall()
{
    ++m_generation;
    m_callActive = false;
    m_timer.cancel();
    cancelExchanges();
    m_snapshotRecords.clear();
    m_snapshotEnd.reset();
    m_snapshotRead.reset();
    m_readsNewest = false;
    m_readingSnapshot = false;
}

bool TopicFeed::applyRecords(std::vector<platform::KeyedRecord> records, const TopicPosition &end, Millis asOf)
{
    if (!m_synchronized || end <= m_position) {
        return false;
    }
    cancelCall(); // It started at an earlier offset.
    if (isRestored(end.era)) {
        recordRestore(end.era);
    }
    applyNewest(std::move(records), end);
    markValidated(asOf);
    reportWatermark(asOf);
    if (m_storeUnreachable) {
        schedule(jittered(m_random, m_backoff), &TopicFeed::readNext);
    } else {
        scheduleRead(m_options.minReadInterval);
    }
    return true;
}

bool TopicFeed::applySnapshot(std::vector<platform::KeyedRecord> records, const TopicPosition &end, Millis asOf)
{
    if (m_synchronized || !end.isKnown()) {
        return false;
    }
    cancelCall();
    advanceTo(end);
    m_synchronized = true;
    recordKnownEnd(std::max(m_knownEnd, end)); // What other VMs have reported beyond this end is unread.
    m_events.onSnapshot(std::move(records));
    markValidated(asOf);
    reportWatermark(asOf);
    scheduleRead(m_options.minReadInterval);
    return true;
}

Millis TopicFeed::firstByteTimeout() const
{
    return m_synchronized ? m_firstByteTimeout : MaxFirstByteTimeout;
}

void TopicFeed::suspend()
{
    cancelCall();
    handleSuccess(); // The topic is followed through another VM, so this VM has no store outage.
}

void TopicFeed::resume(const TopicPosition &position, bool passive)
{
    m_passive = passive;
    advanceTo(position);
    readNext();
}

void TopicFeed::readNow()
{
    if (m_readingSnapshot || isReceivingResponse()) {
        return;
    }
    cancelCall();
    readNext();
}

const TopicPosition &TopicFeed::position() const
{
    return m_position;
}

void TopicFeed::notifyNewRecords(const TopicPosition &end)
{
    recordKnownEnd(end);
    // One early read for each notification: if the store itself does not return the records, the usual read interval
    // applies. A read that has just started will return them; if each of many notifications cancelled it, none would
    // complete.
    const bool justStarted = steadyMillis() - m_callStartedAt < m_options.minCancelAge;
    const bool responseArriving = isReceivingResponse();
    // A read that the store does not hold returns all records that there are; over a congested link its response takes
    // long.
    const bool unheldReadActive = m_callActive && m_longPollTime == Millis{0};
    if (!m_synchronized || end <= m_position || end <= m_notifiedEnd || justStarted || responseArriving
        || unheldReadActive) {
        return;
    }
    if (leavesReadsToOthers()) {
        awaitTurn();
        return;
    }
    m_notifiedEnd = end;
    m_notificationPending = true;
    logInfo(LogComponent::Store, "Another VM reported new records; reading at once.",
            {{"topic", m_options.topic}, {"offset", toText(m_position)}, {"end", toText(end)}});
    m_timer.cancel();
    m_cancelledCalls += m_callActive ? 1 : 0;
    cancelExchanges();
    if (end.era != m_position.era) {
        readSnapshot();
    } else {
        readNext();
    }
}

bool TopicFeed::shouldReadNewest(const TopicPosition &end) const
{
    return m_options.newestOnly && end.era == m_position.era && end.offset - m_position.offset > 1
        && !(m_events.needsEachRecord && m_events.needsEachRecord());
}

bool TopicFeed::leavesReadsToOthers() const
{
    return (m_passive || !m_synchronized) && m_events.mayReadRecords && !m_events.mayReadRecords();
}

void TopicFeed::waitForTurn()
{
    if (!m_synchronized) {
        schedule(m_options.validityTime / ChecksPerTurnTime, &TopicFeed::readSnapshot);
    } else if (isBehind()) {
        schedule(m_options.validityTime / ChecksPerTurnTime, &TopicFeed::readNext);
    } else if (bootMillis() - m_validatedAt < m_options.validityTime) {
        readUnlessValidated();
    } else {
        readEnd();
    }
}

void TopicFeed::awaitTurn()
{
    if (m_synchronized && !m_callActive && leavesReadsToOthers()) {
        waitForTurn();
    }
}

void TopicFeed::beginIfAllowed()
{
    if (!m_synchronized && m_calls == 0 && !leavesReadsToOthers()) {
        readSnapshot();
    }
}

void TopicFeed::readEnd()
{
    // No key comes behind this one, so that the page has the end of the topic and no records.
    constexpr std::string_view LastKey = "~";
    m_longPollTime = Millis{0};
    call(platform::makeSnapshotRequest(m_options.topic, LastKey), m_firstByteTimeout, &TopicFeed::readNext,
         [this](std::int64_t era, int status, const std::string &body) {
             if (isRestored(era)) {
                 readSnapshot();
             } else if (status != OkStatus) {
                 handleFailure("status " + std::to_string(status), &TopicFeed::readNext);
             } else {
                 applyEnd(era, body);
             }
         });
}

void TopicFeed::applyEnd(std::int64_t era, const std::string &body)
{
    const auto page = platform::decodeSnapshotPage(body, era);
    if (!page) {
        handleFailure(page.error().message, &TopicFeed::readNext);
        return;
    }
    handleSuccess();
    if (page->end < m_position) {
        logWarning(LogComponent::Store, "The topic ends before the offset that was read; reading a new snapshot.",
                   {{"topic", m_options.topic}, {"offset", toText(m_position)}, {"end", toText(page->end)}});
        readSnapshot();
        return;
    }
    if (page->end == m_position) {
        forgetKnownEnd(m_generation);
        markValidated(m_callStartedAtBoot);
        reportWatermark(m_callStartedAtBoot);
        scheduleRead(m_options.minReadInterval);
        return;
    }
    recordKnownEnd(page->end);
    schedule(m_options.validityTime / ChecksPerTurnTime, &TopicFeed::readNext);
    if (m_events.onUnreadRecords) {
        m_events.onUnreadRecords(page->end);
    }
}

void TopicFeed::readSnapshot()
{
    if ((m_readsNewest || !m_synchronized) && !m_snapshotEnd && leavesReadsToOthers()) {
        cancelCall(); // It isn't this VM's turn, or no more, and nothing of an earlier attempt has arrived.
        waitForTurn();
        return;
    }
    if (!m_snapshotRead) {
        m_snapshotRead = {.startedAt = steadyMillis(), .callsBefore = m_calls, .bytesBefore = m_bytesRead};
    }
    const std::string after = m_snapshotRecords.empty() ? "" : m_snapshotRecords.back().key;
    m_longPollTime = Millis{0};
    m_readingSnapshot = true;
    call(platform::makeSnapshotRequest(m_options.topic, after), firstByteTimeout(), &TopicFeed::readSnapshot,
         [this](std::int64_t era, int status, const std::string &body) {
             if (status != OkStatus) {
                 handleFailure("status " + std::to_string(status), &TopicFeed::readSnapshot);
                 return;
             }
             applySnapshotPage(era, body);
         });
}

void TopicFeed::applySnapshotPage(std::int64_t era, const std::string &body)
{
    auto page = platform::decodeSnapshotPage(body, era);
    if (!page) {
        handleFailure(page.error().message, &TopicFeed::readSnapshot);
        return;
    }
    if (m_snapshotEnd && m_snapshotEnd->era != era) {
        // The pages that were read are of an earlier era, and this one follows on one of them.
        m_snapshotRecords.clear();
        m_snapshotEnd.reset();
        readSnapshot();
        return;
    }
    if (!m_snapshotEnd) {
        // The end as of the first page: what changes while later pages are read is read again.
        m_snapshotEnd = page->end;
        m_snapshotStartedAt = m_callStartedAtBoot;
        m_snapshotGeneration = m_generation;
    }
    std::move(page->records.begin(), page->records.end(), std::back_inserter(m_snapshotRecords));
    if (page->hasMore && !page->records.empty()) {
        readSnapshot();
        return;
    }
    finishSnapshot();
}

void TopicFeed::finishSnapshot()
{
    m_readingSnapshot = false;
    handleSuccess();
    const TopicPosition end = *std::exchange(m_snapshotEnd, std::nullopt);
    std::vector<platform::KeyedRecord> records = std::exchange(m_snapshotRecords, {});
    logSnapshot(records.size());
    if (m_events.deletedRecords) {
        auto deleted = m_events.deletedRecords(records, end);
        std::move(deleted.begin(), deleted.end(), std::back_inserter(records));
    }
    const bool restored = isRestored(end.era);
    if (restored) {
        recordRestore(end.era);
    }
    // What is new in a restored topic was written since it was last read, as the records after a position are.
    const bool newestOnly = std::exchange(m_readsNewest, false) || (restored && m_options.newestOnly);
    if (newestOnly && end >= m_position) {
        applyNewest(std::move(records), end);
        forgetKnownEnd(m_snapshotGeneration);
    } else {
        m_knownEnd = end; // The topic may have been recreated.
        advanceTo(end);
        m_synchronized = true;
        m_events.onSnapshot(std::move(records));
    }
    reportWatermark(m_snapshotStartedAt);
    scheduleRead(m_options.minReadInterval);
}

void TopicFeed::logSnapshot(std::size_t records)
{
    if (!m_snapshotRead) {
        return;
    }
    const SnapshotRead read = *std::exchange(m_snapshotRead, std::nullopt);
    logInfo(LogComponent::Store, "A snapshot of a topic was read.",
            {{"topic", m_options.topic},
             {"records", std::to_string(records)},
             {"bytes", std::to_string(m_bytesRead - read.bytesBefore)},
             {"calls", std::to_string(m_calls - read.callsBefore)},
             {"took_ms", std::to_string((steadyMillis() - read.startedAt).count())}});
}

void TopicFeed::readNewest()
{
    m_readsNewest = true;
    readSnapshot();
}

void TopicFeed::applyNewest(std::vector<platform::KeyedRecord> records, const TopicPosition &end)
{
    std::erase_if(records, [&](const platform::KeyedRecord &record) { return record.position < m_position; });
    std::sort(records.begin(), records.end(),
              [](const platform::KeyedRecord &a, const platform::KeyedRecord &b) { return a.position < b.position; });
    advanceTo(std::max(m_position, end));
    for (const platform::KeyedRecord &record : records) {
        m_events.onRecord(record);
    }
}

void TopicFeed::readNext()
{
    if (leavesReadsToOthers()) {
        waitForTurn();
        return;
    }
    if (m_synchronized && shouldReadNewest(m_knownEnd)) {
        readNewest();
        return;
    }
    // In an outage the store may still be unresponsive: a held read could not be told from an ignored one.
    const bool notified = std::exchange(m_notificationPending, false);
    const Millis wait = m_storeUnreachable || notified ? Millis{0} : holdTime();
    m_longPollTime = wait;
    call(platform::makeReadRequest(m_options.topic, m_position.offset, wait), wait + m_firstByteTimeout,
         &TopicFeed::readNext, [this](std::int64_t era, int status, const std::string &body) {
             if (isRestored(era)) {
                 readSnapshot(); // Its offsets aren't those that were read before.
             } else if (status == platform::TrimmedStatus) {
                 logInfo(LogComponent::Store, "The store no longer has the unread records; reading a new snapshot.",
                         {{"topic", m_options.topic}, {"offset", toText(m_position)}});
                 readSnapshot();
             } else if (status != OkStatus) {
                 handleFailure("status " + std::to_string(status), &TopicFeed::readNext);
             } else {
                 applyReadPage(era, body);
             }
         });
}

void TopicFeed::applyReadPage(std::int64_t era, const std::string &body)
{
    const auto page = platform::decodeReadPage(body, {.era = era, .offset = m_position.offset});
    if (!page) {
        handleFailure(page.error().message, &TopicFeed::readNext);
        return;
    }
    if (page->end < m_position) {
        logWarning(LogComponent::Store, "The topic ends before the offset that was read; reading a new snapshot.",
                   {{"topic", m_options.topic}, {"offset", toText(m_position)}, {"end", toText(page->end)}});
        readSnapshot();
        return;
    }
    handleSuccess();
    advanceTo(page->next);
    for (const platform::KeyedRecord &record : page->records) {
        m_events.onRecord(record);
    }
    if (page->next < page->end) {
        schedule(m_options.minReadInterval, &TopicFeed::readNext);
        return;
    }
    forgetKnownEnd(m_generation);
    // How long the response was under way is unknown: over a congested link it takes a second. A read without records
    // was held until its time limit, which shows that none was written until then.
    const bool heldToLimit = page->records.empty() && bootMillis() - m_callStartedAtBoot >= m_longPollTime;
    reportWatermark(m_callStartedAtBoot + (heldToLimit ? m_longPollTime : Millis{0}));
    scheduleRead(std::max(Millis{0}, m_options.minReadInterval - (steadyMillis() - m_callStartedAt)));
}

} // namespace ibislock::feed
