// The part of the follower that reads the store: instead of a relay, and beside a source that is late.

#include "ibislock/base/log.h"
#include "ibislock/feed/listings_follower.h"
#include "ibislock/feed/listings_schedule.h"

namespace ibislock::feed
{

void ListingsFollower::followStore()
{
    m_requesting = false;
    closeConnection();
    m_timer.start(m_relayRetryTime, [this] { retryRelaysWithoutStore(); });
    m_relayRetryTime = std::min(2 * m_relayRetryTime, RelayRetryInterval);
    if (m_events.onNoRelay) {
        m_events.onNoRelay();
    }
    if (!m_readsStore) {
        m_readsStore = true;
        logInfo(LogComponent::Store, "Reading listings from the store.",
                {{"offset", toText(m_cache.end)}, {"age_ms", std::to_string(age().count())}});
        updateRole(domainVms()); // It may have changed while a relay was followed.
        m_feed.resume(m_cache.end, !m_servesOthers && !usesListings());
    }
}

bool ListingsFollower::usesListings() const
{
    return m_options.isEntryVm && std::any_of(m_cache.listings.begin(), m_cache.listings.end(), [](const auto &item) {
               return item.second.entry.has_value();
           });
}

void ListingsFollower::scheduleOwnRead()
{
    if (!usesListings()) {
        return;
    }
    const double spread = std::uniform_real_distribution<double>(0, 1)(m_random);
    const Millis sinceLast = bootMillis() - m_ownReadAt;
    scheduleOwnRead(std::max(timeUntilOwnRead(age(), m_options.drainTime, spread),
                             ownReadInterval(age(), m_options.drainTime) - sinceLast));
}

void ListingsFollower::scheduleOwnRead(Millis delay)
{
    m_ownReadTimer.start(delay, [this] { readStoreBeside(); });
}

void ListingsFollower::readStoreBeside()
{
    if (!usesListings()) {
        return;
    }
    const Millis due = timeUntilOwnRead(age(), m_options.drainTime, 1);
    if (due > Millis{0} || (m_readsStore && m_feed.isReadingSnapshot())) {
        scheduleOwnRead(std::max(due, fractionOfDrainTime(OwnReadIntervalFraction)));
        return;
    }
    const Millis untilNext = ownReadInterval(age(), m_options.drainTime) - (bootMillis() - m_ownReadAt);
    if (untilNext > Millis{0}) {
        scheduleOwnRead(untilNext);
        return;
    }
    m_ownReadAt = bootMillis();
    logInfo(LogComponent::Store, "The listings are old; reading the store beside their source.",
            {{"age_ms", std::to_string(age().count())},
             {"source", m_source},
             {"relay", relay()},
             {"offset", toText(m_cache.end)}});
    const bool otherGoesOn =
        std::any_of(m_ownReads.begin(), m_ownReads.end(), [](const TopicPoll &read) { return read.isActive(); });
    m_ownReads[m_nextOwnRead].start(m_cache.end, fractionOfDrainTime(OwnReadTimeoutFraction), otherGoesOn);
    m_nextOwnRead = (m_nextOwnRead + 1) % m_ownReads.size();
    scheduleOwnRead();
}

TopicPollEvents ListingsFollower::ownReadEvents()
{
    return {.onPage = [this](const platform::ReadPage &page, Millis asOf) { applyOwnPage(page, asOf); },
            .onFailure =
                [this](std::string_view cause) {
                    logInfo(LogComponent::Store, "A read of the store beside a late source failed.",
                            {{"cause", std::string(cause)}, {"age_ms", std::to_string(age().count())}});
                    scheduleOwnRead();
                },
            .onPositionGone =
                [this](std::string_view cause) {
                    logInfo(LogComponent::Store, "The store has no records from the position on; reading a snapshot.",
                            {{"cause", std::string(cause)}, {"offset", toText(m_cache.end)}});
                    scheduleOwnRead();
                    m_readsStore ? m_feed.readNow() : followStore();
                }};
}

void ListingsFollower::applyOwnPage(const platform::ReadPage &page, Millis asOf)
{
    if (!(m_readsStore && m_feed.isReadingSnapshot())) { // The snapshot may be older, or of a topic that is recreated.
        for (const platform::KeyedRecord &record : page.records) {
            applyRecord(record);
        }
        m_cache.end = std::max(m_cache.end, page.next);
        if (page.next >= page.end) {
            recordOutageEnd();
            m_cache.asOf = std::max(m_cache.asOf, asOf);
            m_source = StoreSource;
        }
        pruneTombstones(m_cache, steadyMillis());
        m_relayServer.completePending();
        if (page.next < page.end) {
            m_ownReadAt = Millis{0}; // The rest is read at once.
            scheduleOwnRead(Millis{0});
            return;
        }
    }
    scheduleOwnRead();
}

} // namespace ibislock::feed
