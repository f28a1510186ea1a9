#include "ibislock/feed/listings_follower.h"

#include "ibislock/base/log.h"
#include "ibislock/feed/listings_schedule.h"
#include "ibislock/feed/relay_order.h"
#include "ibislock/platform/listings.h"

namespace ibislock::feed
{

namespace
{

/// Consecutive updates that may end before the cached listings. A relay reads on between two requests, so more of them
/// mean that the topic was recreated and one of the two VMs still has the old one. A read of the store decides which.
constexpr int MaxRegressions = 3;

/// Time at first until relays that failed are tried again: they may be starting together with this VM.
constexpr Millis FirstRelayRetryInterval{150};

/// Pause between a relay's update and the next request of a VM that has just started.
constexpr Millis StartRequestPause{40};

} // namespace

ListingsFollower::ListingsFollower(asio::io_context &loop, net::HttpClient &client, platform::Endpoint store,
                                   ListingsFollowerOptions options, ListingsFollowerEvents events)
    : m_options(std::move(options))
    , m_events(std::move(events))
    , m_relayServer(loop, m_cache, m_events.ownWatermark, m_events.lostRecords, m_options.servingLimits)
    , m_feed(loop, client, store,
             {.topic = std::string(platform::TargetsTopic),
              .longPollTime = fractionOfDrainTime(StoreLongPollFraction),
              .passiveLongPollTime = fractionOfDrainTime(PassiveLongPollFraction),
              .minReadInterval = fractionOfDrainTime(StoreReadIntervalFraction)},
             {.onSnapshot = [this](const std::vector<platform::KeyedRecord> &records) { applySnapshot(records); },
              .onRecord = [this](const platform::KeyedRecord &record) { applyRecord(record); },
              .onStoreOutage = [](bool) {},
              .onWatermark =
                  [this](Millis asOf) {
                      handleWatermark(asOf);
                  }})
    , m_ownReads{TopicPoll(client, store, std::string(platform::TargetsTopic), ownReadEvents()),
                 TopicPoll(client, std::move(store), std::string(platform::TargetsTopic), ownReadEvents())}
    , m_ownReadTimer(loop)
    , m_random(systemRandom())
    , m_relayRetryTime(FirstRelayRetryInterval)
    , m_timer(loop)
    , m_relayClient(loop, m_options.port,
                    {.onFrame = [this](const std::string &body) { handleFrame(body); },
                     .onLost =
                         [this](std::string_view cause) {
                             failOver(cause);
                         }})
{
}

ListingsFollower::~ListingsFollower()
{
    closeConnection();
}

Millis ListingsFollower::fractionOfDrainTime(double fraction) const
{
    return fractionOf(m_options.drainTime, fraction);
}

asio::error_code ListingsFollower::start()
{
    const asio::error_code ec =
        m_options.servesListings ? m_relayServer.open(m_options.ip, m_options.port) : asio::error_code();
    m_feed.start();
    return ec;
}

const ListingsCache &ListingsFollower::cache() const
{
    return m_cache;
}

bool ListingsFollower::synchronized() const
{
    return m_cache.coveredFrom.isKnown();
}

bool ListingsFollower::readsStoreForOthers() const
{
    return m_readsStore && m_servesOthers;
}

std::string ListingsFollower::relay() const
{
    return m_readsStore ? std::string() : m_currentRelay;
}

Millis ListingsFollower::age() const
{
    return bootMillis() - m_cache.asOf;
}

bool ListingsFollower::isCurrent() const
{
    return age() < fractionOfDrainTime(OwnReadFraction);
}

bool ListingsFollower::storeUnreachable() const
{
    return m_readsStore && m_feed.isUnreachable();
}

const std::string &ListingsFollower::source() const
{
    return m_source;
}

std::uint64_t ListingsFollower::storeCalls() const
{
    return m_feed.calls() + ownReads();
}

std::uint64_t ListingsFollower::storeFailures() const
{
    return m_feed.failures() + m_ownReads[0].failures() + m_ownReads[1].failures();
}

std::uint64_t ListingsFollower::ownReads() const
{
    return m_ownReads[0].calls() + m_ownReads[1].calls();
}

std::uint64_t ListingsFollower::relayResponses() const
{
    return m_relayResponses;
}

std::uint64_t ListingsFollower::relayFailovers() const
{
    return m_relayFailovers;
}

std::uint64_t ListingsFollower::responsesSent() const
{
    return m_relayServer.responsesSent();
}

std::uint64_t ListingsFollower::unusableListings() const
{
    return m_unusableListings;
}

peer::ListingChange ListingsFollower::decode(const platform::KeyedRecord &record)
{
    peer::ListingChange out{.id = record.key, .entry = {}, .position = record.position};
    if (!record.value) {
        return out;
    }
    auto listing = platform::decodeTarget(record.key, *record.value);
    if (listing) {
        out.entry = std::move(listing->entry);
        if (!m_events.hasColdLimit || !m_events.hasColdLimit(out.entry->service)) {
            out.entry->coldLeft = Millis{0}; // Its changes would be forwarded in vain.
        }
        out.writeNumber = listing->writeNumber;
    } else {
        ++m_unusableListings;
        logInfo(LogComponent::Store, "A listing can't be used; its target gets no requests.",
                {{"target", record.key}, {"cause", listing.error().message}});
    }
    return out;
}

void ListingsFollower::applySnapshot(const std::vector<platform::KeyedRecord> &records)
{
    std::vector<peer::ListingChange> listings;
    for (const platform::KeyedRecord &record : records) {
        peer::ListingChange change = decode(record);
        if (change.entry) {
            listings.push_back(std::move(change));
        }
    }
    recordOutageEnd();
    m_source = StoreSource;
    recordEra(m_feed.position());
    notify(replaceListings(m_cache, listings, m_feed.position(), steadyMillis()));
}

void ListingsFollower::applyRecord(const platform::KeyedRecord &record)
{
    const peer::ListingChange change = decode(record);
    recordOutageEnd();
    m_source = StoreSource;
    if (applyTopicRecord(m_cache, change, steadyMillis())) {
        notify({change});
    }
}

void ListingsFollower::notify(const std::vector<peer::ListingChange> &changes)
{
    for (const peer::ListingChange &change : changes) {
        m_events.onListing(change.id, change.entry);
    }
}

void ListingsFollower::recordOutageEnd()
{
    // Without an outage the listings of an entry VM are never as old as the drain time.
    const Millis expiringAge = std::max(m_options.minExpiringOutage, m_options.drainTime);
    const bool expiring = m_cache.asOf > Millis{0} && age() >= expiringAge;
    // Several records may be applied before the listings are confirmed.
    const bool recorded = m_outageEndedAt > m_cache.asOf && bootMillis() - m_outageEndedAt < expiringAge;
    if (!expiring || recorded) {
        return;
    }
    m_outageEndedAt = bootMillis();
    // The store may have responded again since the last call without a response was started.
    const Millis earliestEnd = std::max({m_cache.asOf, m_feed.lastUnreachableAt(), m_ownReads[0].lastUnreachableAt(),
                                         m_ownReads[1].lastUnreachableAt()});
    m_relayServer.recordStoreRecovery(earliestEnd);
    m_events.onStoreRecovered(steadyMillis() - (m_outageEndedAt - earliestEnd));
}

void ListingsFollower::recordEra(const TopicPosition &end)
{
    if (!m_cache.end.isKnown() || end.era <= m_cache.end.era) {
        return;
    }
    // Listings of live targets may be missing from the older copy; their targets write them again.
    logWarning(LogComponent::Store, "The store was restored from an older copy; replacing all listings.",
               {{"offset", toText(m_cache.end)}, {"end", toText(end)}, {"from", m_source}});
    m_relayServer.recordStoreRecovery(bootMillis());
    m_events.onStoreRecovered(steadyMillis());
}

void ListingsFollower::handleWatermark(Millis asOf)
{
    recordOutageEnd();
    m_cache.end = std::max(m_cache.end, m_feed.position()); // A read beside the feed may be ahead of it.
    m_cache.asOf = std::max(m_cache.asOf, asOf);
    m_source = StoreSource;
    scheduleOwnRead();
    pruneTombstones(m_cache, steadyMillis());
    const std::vector<std::string> vms = domainVms();
    updateRole(vms);
    m_feed.setPassive(!m_servesOthers && !usesListings());
    m_relayServer.completePending();
    reportStartContacts(vms);
    retryRelays(vms);
}

void ListingsFollower::updateRole(const std::vector<std::string> &vms)
{
    m_servesOthers = m_options.servesListings && isRelayOrBackup(m_options.ip, vms);
}

void ListingsFollower::reportStartContacts(const std::vector<std::string> &vms)
{
    if (!relaysFor(m_options.ip, vms).empty()) {
        return;
    }
    if (m_events.onNoRelay) {
        m_events.onNoRelay();
    }
    if (m_servesOthers) {
        m_events.onEntryVms(m_relayServer.recentEntryVms(), /*complete=*/false);
    }
}

void ListingsFollower::retryRelays(const std::vector<std::string> &vms)
{
    const Millis now = steadyMillis();
    if (!m_requesting && now >= m_retryRelaysAt && !relaysFor(m_options.ip, vms).empty()) {
        m_retryRelaysAt = now + m_relayRetryTime;
        m_relayIndex = 0;
        requestUpdate(); // The store is read until a relay has responded.
    }
}

void ListingsFollower::retryRelaysWithoutStore()
{
    m_timer.start(m_relayRetryTime, [this] { retryRelaysWithoutStore(); });
    retryRelays(domainVms());
}

std::vector<std::string> ListingsFollower::domainVms() const
{
    std::vector<std::string> vms;
    for (const auto &[id, cached] : m_cache.listings) {
        if (!cached.entry || cached.entry->draining || cached.entry->domain != m_options.domain
            || !m_events.hasDaemon(*cached.entry)) {
            continue;
        }
        if (auto endpoint = platform::parseEndpoint(cached.entry->address)) {
            vms.push_back(std::move(endpoint->ip));
        }
    }
    return vms;
}

void ListingsFollower::requestUpdate()
{
    const std::vector<std::string> vms = relaysFor(m_options.ip, domainVms());
    if (m_relayIndex >= vms.size()) {
        followStore();
        return;
    }
    m_requesting = true;
    m_requestedAt = bootMillis();
    const Millis wait = awaitsEntryVms() ? Millis{0} : relayHoldTime(age(), m_options.drainTime);
    m_currentRelay = vms[m_relayIndex];
    m_relayClient.send(
        m_currentRelay,
        encode(peer::ListingsRequest{.sequence = ++m_sequence,
                                     .from = m_cache.end,
                                     .wait = wait,
                                     .entryVm = m_options.isEntryVm ? m_options.ip : "",
                                     .wantsLostRecords = m_events.wantsLostRecords && m_events.wantsLostRecords()}));
    m_timer.start(wait + fractionOfDrainTime(ResponseMarginFraction), [this] { failOver("no answer"); });
}

bool ListingsFollower::awaitsEntryVms() const
{
    return m_events.awaitsEntryVms && m_events.awaitsEntryVms();
}

void ListingsFollower::scheduleRequest(Millis delay)
{
    m_timer.start(delay, [this] { requestUpdate(); });
}

void ListingsFollower::handleFrame(const std::string &body)
{
    const auto message = peer::decodeListings(body);
    if (!message || !std::holds_alternative<peer::ListingsUpdate>(*message)) {
        failOver("unreadable answer");
        return;
    }
    const auto &update = std::get<peer::ListingsUpdate>(*message);
    if (update.sequence == m_sequence) {
        applyUpdate(update);
    }
}

void ListingsFollower::applyUpdate(const peer::ListingsUpdate &update)
{
    // The response left the relay `heldFor` after the request was sent or later, so this can only overestimate the age.
    const Millis asOf = m_requestedAt + update.heldFor - update.age;
    const bool stale = !update.end.isKnown() || bootMillis() - asOf > fractionOfDrainTime(MaxAgeFraction);
    if (m_events.onLostRecords && !update.lostRecords.empty()) {
        m_events.onLostRecords(m_currentRelay, update.lostRecords);
    }
    m_events.onEntryVms(update.entryVms, /*complete=*/!stale);
    m_events.onOperatorsWatermark({.end = update.operatorsWatermark.end,
                                   .announcementsEnd = update.operatorsWatermark.announcementsEnd,
                                   .asOf = m_requestedAt + update.heldFor - update.operatorsWatermark.age});
    if (stale) {
        failOver("stale answer");
        return;
    }
    ++m_relayResponses;
    m_relayRetryTime = RelayRetryInterval;
    const Millis now = steadyMillis();
    if (m_readsStore) {
        m_readsStore = false;
        m_feed.suspend();
        logInfo(LogComponent::Store, "Reading listings from a relay.",
                {{"relay", m_currentRelay}, {"age_ms", std::to_string((bootMillis() - asOf).count())}});
    }
    m_regressions = update.end < m_cache.end ? m_regressions + 1 : 0;
    if (m_regressions > MaxRegressions) {
        m_regressions = 0;
        failOver("behind");
        return;
    }
    // An update that ends before what is known is of another topic or overestimates its time: it confirms nothing.
    if (update.end >= m_cache.end) {
        recordOutageEnd();
        m_source = m_currentRelay;
        recordEra(update.end);
        std::vector<peer::ListingChange> changes;
        if (update.isSnapshot) {
            changes = replaceListings(m_cache, update.listings, update.end, now);
        } else {
            for (const peer::ListingChange &change : update.listings) {
                if (applyListing(m_cache, change, now)) {
                    changes.push_back(change);
                }
            }
        }
        m_cache.end = update.end;
        notify(changes);
        m_cache.asOf = std::max(m_cache.asOf, asOf);
    }
    scheduleOwnRead();
    pruneTombstones(m_cache, now);
    m_relayServer.completePending();
    if (m_relayIndex > 0 && now >= m_retryRelaysAt) {
        m_retryRelaysAt = now + RelayRetryInterval;
        m_relayIndex = 0;
    }
    scheduleRequest(awaitsEntryVms() ? StartRequestPause : requestPause(age(), m_options.drainTime));
}

void ListingsFollower::failOver(std::string_view cause)
{
    ++m_relayFailovers;
    logInfo(LogComponent::Store, "A relay of listings failed; trying the next source.",
            {{"relay", m_currentRelay}, {"cause", std::string(cause)}, {"age_ms", std::to_string(age().count())}});
    closeConnection();
    if (m_relayIndex == 0) {
        m_retryRelaysAt = steadyMillis() + m_relayRetryTime;
    }
    ++m_relayIndex;
    requestUpdate();
}

void ListingsFollower::closeConnection()
{
    m_timer.cancel();
    m_relayClient.close();
}

} // namespace ibislock::feed
