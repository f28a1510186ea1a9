#include "ibislock/feed/operators_follower.h"

#include "ibislock/feed/source_order.h"
#include "ibislock/platform/listings.h"

#include <algorithm>

namespace ibislock::feed
{

namespace
{

// Fractions of the time within which a desired state must take effect. A VM none of whose sources responds reads the
// store after `FirstLongPollFraction` + `NextLongPollFraction` + 2 * `ResponseMarginFraction`, which leaves half of the
// time for the response.

/// How long the first source may hold a request until it has the records; it may wait for another source itself.
constexpr double FirstLongPollFraction = 0.2;

/// How long the next source may hold a request.
constexpr double NextLongPollFraction = 0.1;

/// How much longer a response may take to arrive, and how long it may stall once it has started.
constexpr double ResponseMarginFraction = 0.1;

/// How long a VM that has nothing to ask for waits until it asks its sources again.
constexpr double NextRoundFraction = 0.05;

/// How long a VM that starts waits for other VMs before it reads its first snapshot from the store by itself. VMs that
/// find no others don't know how many they are, so that their reads are spread over the second time.
constexpr double AloneFraction = 0.3;
constexpr double AloneSpreadFraction = 1.0;

/// How long a VM that failed to respond is not asked again by one that starts.
constexpr double StartRetryFraction = 0.1;

/// How long a VM that starts may count as not ready because no other VM has told it what the topic lacks.
constexpr double CatchUpFraction = 0.5;

/// Time until a VM that didn't respond is used as a source again.
constexpr Millis SourceRetryInterval{4000};

platform::KeyedRecord fromMessage(const peer::TopicRecord &record)
{
    return {.key = record.key, .value = record.value, .position = record.position};
}

peer::TopicRecord toMessage(const platform::KeyedRecord &record)
{
    return {.key = record.key, .value = record.value, .position = record.position};
}

Result<peer::RecordsRequest> decodeRequest(std::string_view body)
{
    const auto message = peer::decodeRecords(body);
    if (!message || !std::holds_alternative<peer::RecordsRequest>(*message)) {
        return failure(ErrorCode::Corrupt, "not a request for records");
    }
    return std::get<peer::RecordsRequest>(*message);
}

} // namespace

OperatorsFollower::OperatorsFollower(asio::io_context &loop, net::HttpClient &client, platform::Endpoint store,
                                     OperatorsFollowerOptions options, FeedEvents events)
    : m_options(std::move(options))
    , m_onSnapshot(events.onSnapshot)
    , m_feed(loop, client, std::move(store), operatorsFeedOptions(m_options.stateTime), withCache(std::move(events)))
    , m_server(
          loop,
          {.decode = decodeRequest,
           // A VM that can't read the store responds at once with what it has, so that the requesting VM tries another.
           .isReady =
               [this](const peer::RecordsRequest &request) {
                   return m_storeUnreachable || m_cache.end >= request.awaitedEnd;
               },
           .makeResponse =
               [this](const peer::RecordsRequest &request, Millis) {
                   peer::RecordsUpdate out{.sequence = request.sequence, .end = m_cache.end, .records = {}};
                   if (!request.awaitedEnd.isKnown()) {
                       out.records = lostRecords(request.from.era);
                       return encode(out);
                   }
                   for (const platform::KeyedRecord &record : recordsFrom(m_cache, request.from)) {
                       out.records.push_back(toMessage(record));
                   }
                   if (request.from < m_cache.snapshotEnd) {
                       out.keys = liveKeys(m_cache);
                   }
                   return encode(out);
               }},
          m_options.limits)
    , m_sourceClient(loop, m_options.port,
                     {.onFrame = [this](const std::string &body) { handleFrame(body); },
                      .onLost =
                          [this](std::string_view cause) {
                              m_sourceClient.close();
                              if (m_requesting) {
                                  failOver(cause);
                              }
                          }})
    , m_lostRecordsQuery(loop,
                         {.ip = m_options.ip,
                          .port = m_options.port,
                          .responseTime = fractionOfStateTime(ResponseMarginFraction),
                          .maxWait = fractionOfStateTime(CatchUpFraction)},
                         [this](const std::string &vm, const std::vector<peer::TopicRecord> &records) {
                             applyLostRecords(vm, records);
                         })
    , m_timer(loop)
{
    if (m_options.startsWithOthers) {
        Random random = systemRandom();
        const double spread = std::uniform_real_distribution<double>(0, AloneSpreadFraction)(random);
        m_timeAlone = fractionOfStateTime(AloneFraction + spread);
    }
}

FeedEvents OperatorsFollower::withCache(FeedEvents events)
{
    // Records are served only after all records of a response have been delivered.
    const auto publishEnd = [this] {
        m_cache.end = m_feed.position();
        m_server.completePending();
    };
    const auto cacheRecord = [this](const platform::KeyedRecord &record) {
        applyTopicRecord(m_cache, record);
    };
    return {
        .onSnapshot =
            [this, cacheRecord,
             deliver = std::move(events.onSnapshot)](const std::vector<platform::KeyedRecord> &records) {
                // The topic may have been recreated; what is in force stays.
                m_cache.newest.clear();
                m_cache.end = {};
                std::for_each(records.begin(), records.end(), cacheRecord);
                deliver(records);
                m_lostRecordsQuery.start(m_feed.position());
            },
        .onRecord =
            [cacheRecord, deliver = std::move(events.onRecord)](const platform::KeyedRecord &record) {
                cacheRecord(record);
                deliver(record);
            },
        .onStoreOutage =
            [this, deliver = std::move(events.onStoreOutage)](bool unreachable) {
                m_storeUnreachable = unreachable;
                deliver(unreachable);
            },
        .onWatermark =
            [publishEnd, deliver = std::move(events.onWatermark)](Millis asOf) {
                publishEnd();
                if (deliver) {
                    deliver(asOf);
                }
            },
        .deletedRecords =
            [this](const std::vector<platform::KeyedRecord> &snapshot, const TopicPosition &end) {
                SnapshotContent content{.keys = {}, .usedPositions = {}, .end = end};
                for (const platform::KeyedRecord &record : snapshot) {
                    content.keys.insert(record.key);
                    content.usedPositions.insert(record.position);
                }
                m_cache.snapshotEnd = end;
                return feed::deletedRecords(m_cache, content);
            },
        .mayReadRecords = [this] { return mayReadRecords(); },
        .onUnreadRecords =
            [this](const TopicPosition &end) { applyKnownEnd({.end = end, .asOf = m_feed.endKnownAt()}, end); },
        .needsEachRecord =
            [this] {
                // A snapshot doesn't show whether an evacuation that the topic lacks was deleted.
                const auto lost = feed::lostRecords(m_cache, m_feed.position().era);
                return std::any_of(lost.begin(), lost.end(), [](const platform::KeyedRecord &record) {
                    return platform::evacuatedDomain(record.key).has_value();
                });
            },
    };
}

Millis OperatorsFollower::fractionOfStateTime(double fraction) const
{
    return Millis{static_cast<std::int64_t>(static_cast<double>(m_options.stateTime.count()) * fraction)};
}

asio::error_code OperatorsFollower::start()
{
    const asio::error_code ec = m_options.isEntryVm ? m_server.open(m_options.ip, m_options.port) : asio::error_code();
    m_feed.start();
    return ec;
}

void OperatorsFollower::setEntryVms(std::vector<std::string> vms, bool complete)
{
    const bool starts = !m_feed.synchronized();
    if (!complete && !starts) {
        return;
    }
    m_entryVms = std::move(vms);
    if (complete) {
        m_lostRecordsQuery.setVms(m_entryVms);
    }
    if (m_entryVmsKnownAt == Millis{0} && (complete || !m_entryVms.empty())) {
        m_entryVmsKnownAt = steadyMillis();
        m_feed.beginIfAllowed();
    }
    if (starts && !m_requesting) {
        startRound();
    }
}

void OperatorsFollower::recordNoRelay()
{
    if (m_noRelaySince == Millis{0}) {
        m_noRelaySince = steadyMillis();
        m_feed.beginIfAllowed();
    }
}

void OperatorsFollower::recordInForce(const platform::KeyedRecord &record)
{
    if (!record.value) {
        m_cache.inForce.erase(record.key);
        return;
    }
    m_cache.inForce.insert_or_assign(record.key, record);
}

bool OperatorsFollower::isCaughtUp() const
{
    return m_lostRecordsQuery.completed();
}

std::vector<peer::TopicRecord> OperatorsFollower::lostRecords(std::int64_t era) const
{
    std::vector<peer::TopicRecord> out;
    for (const platform::KeyedRecord &record : feed::lostRecords(m_cache, era)) {
        out.push_back(toMessage(record));
    }
    return out;
}

bool OperatorsFollower::wantsLostRecords() const
{
    return m_lostRecordsQuery.wantsRelay();
}

void OperatorsFollower::applyLostRecords(const std::string &vm, const std::vector<peer::TopicRecord> &records)
{
    logInfo(LogComponent::Store, "Another VM has records in force that the store lacks.",
            {{"vm", vm}, {"records", std::to_string(records.size())}, {"offset", toText(m_feed.position())}});
    std::vector<platform::KeyedRecord> out;
    for (const peer::TopicRecord &record : records) {
        out.push_back({.key = record.key, .value = record.value, .position = {}});
    }
    m_recordSource = vm;
    m_onSnapshot(std::move(out));
    m_recordSource.clear();
}

void OperatorsFollower::setPassive(bool passive)
{
    m_passive = passive;
    m_feed.setPassive(passive);
}

const TopicFeed &OperatorsFollower::feed() const
{
    return m_feed;
}

const std::string &OperatorsFollower::recordSource() const
{
    return m_recordSource;
}

std::uint64_t OperatorsFollower::peerUpdatesApplied() const
{
    return m_peerUpdatesApplied;
}

std::uint64_t OperatorsFollower::failedRequests() const
{
    return m_failedRequests;
}

std::uint64_t OperatorsFollower::responsesSent() const
{
    return m_server.responsesSent();
}

std::size_t OperatorsFollower::peerConnections() const
{
    return m_server.connections();
}

void OperatorsFollower::applyWatermark(const OperatorsWatermark &watermark, TopicPosition end)
{
    m_heardAt = steadyMillis();
    applyKnownEnd(watermark, end);
}

void OperatorsFollower::applyKnownEnd(const OperatorsWatermark &watermark, const TopicPosition &end)
{
    if (end <= m_feed.position()) {
        m_feed.markValidated(watermark.asOf);
        return;
    }
    m_wantedEnd = end;
    m_reported = watermark;
    if (m_feed.synchronized() && !m_feed.isBehind()) {
        m_roundCompleted = false;
        m_isAlone = false;
    }
    m_feed.recordKnownEnd(end);
    m_feed.awaitTurn();
    if (!m_requesting) {
        startRound();
    }
}

void OperatorsFollower::startRound()
{
    if (!m_wantedEnd.isKnown()) {
        m_wantedEnd = {.era = 0, .offset = 0}; // Any snapshot.
    }
    m_sources = sources();
    m_sourceIndex = 0;
    m_sourceResponded = false;
    requestNext();
}

void OperatorsFollower::requestNext()
{
    if (m_feed.synchronized() && !m_feed.isBehind()) {
        m_wantedEnd = m_feed.position(); // The records have been read, or the store doesn't have them.
    }
    m_requesting = m_feed.position() < m_wantedEnd && m_sourceIndex < m_sources.size();
    if (!m_requesting) {
        m_timer.cancel();
        if (m_feed.position() < m_wantedEnd) {
            m_roundCompleted = true;
            m_isAlone = !m_sourceResponded;
            m_feed.notifyNewRecords(m_wantedEnd);
            if (m_passive || !m_feed.synchronized()) {
                m_timer.start(fractionOfStateTime(NextRoundFraction), [this] { startRound(); });
            }
        }
        return;
    }
    const Millis wait = fractionOfStateTime(m_sourceIndex == 0 ? FirstLongPollFraction : NextLongPollFraction);
    m_sourceClient.send(
        m_sources[m_sourceIndex],
        encode(peer::RecordsRequest{
            .sequence = ++m_sequence, .from = m_feed.position(), .awaitedEnd = m_wantedEnd, .wait = wait}));
    awaitResponse(wait + fractionOfStateTime(ResponseMarginFraction));
}

void OperatorsFollower::awaitResponse(Millis time)
{
    m_timer.start(time, [this] {
        const Millis silence = steadyMillis() - m_sourceClient.lastReceivedAt();
        if (silence < fractionOfStateTime(ResponseMarginFraction)) {
            awaitResponse(fractionOfStateTime(ResponseMarginFraction) - silence); // The response is arriving.
        } else {
            m_sourceClient.close();
            failOver("no answer");
        }
    });
}

void OperatorsFollower::handleFrame(const std::string &body)
{
    const auto message = peer::decodeRecords(body);
    if (!message || !std::holds_alternative<peer::RecordsUpdate>(*message)) {
        m_sourceClient.close();
        if (m_requesting) {
            failOver("unreadable answer");
        }
        return;
    }
    const auto &update = std::get<peer::RecordsUpdate>(*message);
    m_sourceResponded = true;
    if (m_requesting && update.sequence == m_sequence) {
        applyUpdate(update);
    }
}

void OperatorsFollower::applyUpdate(const peer::RecordsUpdate &update)
{
    std::vector<platform::KeyedRecord> records;
    records.reserve(update.records.size());
    for (const peer::TopicRecord &record : update.records) {
        records.push_back(fromMessage(record));
    }
    if (update.keys) {
        m_cache.snapshotEnd = std::max(m_cache.snapshotEnd, update.end);
        SnapshotContent content{
            .keys = {update.keys->begin(), update.keys->end()}, .usedPositions = {}, .end = update.end};
        for (const platform::KeyedRecord &record : records) {
            content.usedPositions.insert(record.position);
        }
        auto deleted = feed::deletedRecords(m_cache, content);
        std::move(deleted.begin(), deleted.end(), std::back_inserter(records));
    }
    m_recordSource = m_sourceClient.vm();
    if (!m_feed.synchronized()) {
        applySnapshot(std::move(records), update.end);
        return;
    }
    // Records before the reported end don't show that the topic ended behind them.
    const Millis asOf = update.end >= m_reported.end ? m_reported.asOf : m_feed.endKnownAt();
    const bool applied = m_feed.applyRecords(std::move(records), update.end, asOf);
    m_recordSource.clear();
    if (applied) {
        ++m_peerUpdatesApplied;
    } else {
        ++m_failedRequests;
        ++m_sourceIndex;
    }
    requestNext(); // If states follow one another quickly, the same VM may have the next one by now.
}

void OperatorsFollower::applySnapshot(std::vector<platform::KeyedRecord> records, const TopicPosition &end)
{
    const std::size_t n = records.size();
    const Millis asOf = m_reported.end.isKnown() && end >= m_reported.end ? m_reported.asOf : Millis{0};
    const bool applied = m_feed.applySnapshot(std::move(records), end, asOf);
    if (applied) {
        logInfo(LogComponent::Store, "Another VM sent the first snapshot.",
                {{"vm", m_recordSource}, {"records", std::to_string(n)}, {"offset", toText(end)}});
    } else {
        ++m_failedRequests;
        ++m_sourceIndex;
    }
    m_recordSource.clear();
    requestNext();
}

void OperatorsFollower::failOver(std::string_view cause)
{
    ++m_failedRequests;
    logInfo(LogComponent::Store, "A request for records to another VM failed; trying the next source.",
            {{"vm", m_sourceClient.vm()},
             {"cause", std::string(cause)},
             {"offset", toText(m_feed.position())},
             {"end", toText(m_wantedEnd)}});
    m_avoidedUntil[m_sourceClient.vm()] =
        steadyMillis() + (m_feed.synchronized() ? SourceRetryInterval : fractionOfStateTime(StartRetryFraction));
    ++m_sourceIndex;
    requestNext();
}

} // namespace ibislock::feed
