// Keeps the listings of targets up to date: requests changes from a relay of the own failure domain, or reads the store
// if this VM is a relay itself or finds no fresh one. Updates of a relay carry the age of its data; a relay that is cut
// off from the store, frozen or gone is replaced after a fraction of the time within which requests to a draining
// target must stop. An entry VM whose listings grow old meanwhile reads the store beside it (`listings_schedule.h`).
//
//     ListingsFollower follower(loop, client, store, {.ip = "10.0.0.1", .domain = "a", .drainTime = Millis{2000}},
//                               events);
//     follower.start();

#pragma once

#include "ibislock/feed/listings_relay.h"
#include "ibislock/feed/operators_watermark.h"
#include "ibislock/feed/peer_client.h"
#include "ibislock/feed/topic_feed.h"
#include "ibislock/feed/topic_poll.h"

#include <array>

namespace ibislock::feed
{

/// The source of listings that were read from the store, as logged.
inline constexpr std::string_view StoreSource = "store";

/// Shortest outage of the store in which a listing may expire, in heartbeats: one expires after three without a write,
/// of which the first may have begun before the outage.
inline constexpr int HeartbeatsMissedToExpire = 2;

/// Settings of a follower.
struct ListingsFollowerOptions
{
    std::string ip; ///< The address of this VM.
    std::string domain; ///< The failure domain of this VM.
    std::uint16_t port = 0; ///< The port on which relays listen.
    bool servesListings = false; ///< Listens on `port` itself, as target VMs do.
    bool isEntryVm = false; ///< This is an entry VM, and its requests say so.
    LongPollLimits servingLimits; ///< Applies if it serves listings.
    Millis drainTime{2000}; ///< The time within which requests to a draining target must stop.
    Millis minExpiringOutage{0}; ///< In a store outage that is shorter, no listing of a live target expires.
};

/// Functions that a follower calls to report events and to query its owner.
struct ListingsFollowerEvents
{
    /// A listing changed; `entry` is empty if it was removed or can't be used.
    std::function<void(const std::string &id, const std::optional<serving::TargetEntry> &entry)> onListing;
    /// Called before changes are delivered that an outage of the store may have caused. It was restored from a copy, or
    /// the listings were not confirmed for so long that those of live targets may have expired; calls of this VM or of
    /// a relay that fail for a shorter time, or while another VM reads the store, are no outage.
    /// @param at the earliest time at which the outage may have ended, in monotonic time.
    std::function<void(Millis at)> onStoreRecovered;
    /// Returns whether an ibislock daemon runs beside a target.
    std::function<bool(const serving::TargetEntry &)> hasDaemon;
    /// Called when a relay reports up to which offset it knows the operators' topic, and as of when.
    std::function<void(const OperatorsWatermark &)> onOperatorsWatermark;
    /// Returns this VM's watermark of the operators' topic, which it sends in its responses to requesting VMs.
    std::function<peer::TopicWatermark()> ownWatermark;
    /// Returns the records of the operators' topic that are in force here and that the topic lacks in an era, or may
    /// lack. May be empty.
    std::function<std::vector<peer::TopicRecord>(std::int64_t era)> lostRecords = {};
    /// Returns whether such records of a relay are needed, as this VM has just started. May be empty.
    std::function<bool()> wantsLostRecords = {};
    /// Called with such records of a relay.
    std::function<void(const std::string &relay, const std::vector<peer::TopicRecord> &records)> onLostRecords = {};
    /// Called with the addresses of the entry VMs that recently sent requests to the relay.
    /// @param complete whether these are all entry VMs of the domain, as far as the relay knows; it may have started a
    /// moment ago.
    std::function<void(std::vector<std::string> vms, bool complete)> onEntryVms;
    /// Returns whether this VM has just started and needs to know entry VMs soon, whatever changes in the listings. May
    /// be empty.
    std::function<bool()> awaitsEntryVms = {};
    /// Called, also repeatedly, when the listings show no relay for this VM, or none of those responds. May be empty.
    std::function<void()> onNoRelay = {};
    /// Returns whether cold targets of a service are limited, or may be. May be empty if none are.
    std::function<bool(const std::string &service)> hasColdLimit = {};
};

/// Follows the listings of targets through a relay, or from the store.
class ListingsFollower
{
public:
    ListingsFollower(asio::io_context &loop, net::HttpClient &client, platform::Endpoint store,
                     ListingsFollowerOptions options, ListingsFollowerEvents events);
    ~ListingsFollower();
    ListingsFollower(const ListingsFollower &) = delete;
    ListingsFollower &operator=(const ListingsFollower &) = delete;

    /// Starts to follow, and to listen if `servesListings` is set.
    /// @return an empty code, or why the address can't be listened on.
    asio::error_code start();

    /// Returns all listings that are known.
    const ListingsCache &cache() const;

    /// Returns whether listings have been read since the start.
    bool synchronized() const;

    /// Returns whether this VM reads the store and serves others, as a relay or as a backup while no relay responds.
    bool readsStoreForOthers() const;

    /// Returns the address of the relay in use; empty while the store is read.
    std::string relay() const;

    /// Returns the time since the listings were the present ones in the store; targets may have left since.
    Millis age() const;

    /// Returns whether the listings are as new as those of an entry VM are while the store responds.
    bool isCurrent() const;

    /// Returns whether this VM reads the store itself and its last call failed.
    bool storeUnreachable() const;

    /// Returns who confirmed the listings last: the address of a relay, or `StoreSource`.
    const std::string &source() const;

    /// Returns the number of calls to the store.
    std::uint64_t storeCalls() const;

    /// Returns the number of calls to the store that failed.
    std::uint64_t storeFailures() const;

    /// Returns how often the store was read beside a late source, as the listings had grown old.
    std::uint64_t ownReads() const;

    /// Returns the number of responses of relays that were fresh enough to be used.
    std::uint64_t relayResponses() const;

    /// Returns how often a relay was given up for the next source.
    std::uint64_t relayFailovers() const;

    /// Returns the number of requests of other VMs that were answered.
    std::uint64_t responsesSent() const;

    /// Returns the number of listings that could not be used.
    std::uint64_t unusableListings() const;

private:
    /// Time until relays that failed are tried again, at most, and until a VM that reads the store checks whether it
    /// still has to.
    static constexpr Millis RelayRetryInterval{4000};

    peer::ListingChange decode(const platform::KeyedRecord &record);
    void applySnapshot(const std::vector<platform::KeyedRecord> &records);
    void applyRecord(const platform::KeyedRecord &record);

    /// Records that the store was restored if the topic is now known up to an end of a later era.
    void recordEra(const TopicPosition &end);
    void handleWatermark(Millis asOf);

    /// Records the end of an outage in which listings may have expired, if there was one. To be called before what the
    /// store holds now is applied.
    void recordOutageEnd();
    void notify(const std::vector<peer::ListingChange> &changes);
    void updateRole(const std::vector<std::string> &vms);
    void retryRelays(const std::vector<std::string> &vms);

    /// Reports who can be asked for what this VM needs at its start if no relay tells it.
    void reportStartContacts(const std::vector<std::string> &vms);
    void retryRelaysWithoutStore();
    std::vector<std::string> domainVms() const;
    void requestUpdate();
    void scheduleRequest(Millis delay);
    bool awaitsEntryVms() const;
    void handleFrame(const std::string &body);
    void applyUpdate(const peer::ListingsUpdate &update);
    void failOver(std::string_view cause);
    void closeConnection();
    void followStore();
    bool usesListings() const;
    void scheduleOwnRead();
    void scheduleOwnRead(Millis delay);
    void readStoreBeside();
    TopicPollEvents ownReadEvents();
    void applyOwnPage(const platform::ReadPage &page, Millis asOf);
    Millis fractionOfDrainTime(double fraction) const;

    ListingsFollowerOptions m_options;
    ListingsFollowerEvents m_events;
    ListingsCache m_cache;
    ListingsRelay m_relayServer;
    TopicFeed m_feed;
    std::array<TopicPoll, 2> m_ownReads; ///< Read the store beside a late source, in turn.
    std::size_t m_nextOwnRead = 0; ///< The index in `m_ownReads` of the one to start next.
    net::Timer m_ownReadTimer;
    Millis m_ownReadAt{0}; ///< When the last of these reads was started, by the boot clock.
    Random m_random;
    Millis m_outageEndedAt{0}; ///< When the last outage ended in which listings may have expired, by the boot clock.
    bool m_readsStore = true;
    bool m_servesOthers = false; ///< This VM is a relay or backup, from which others request listings.
    bool m_requesting = false; ///< A request is under way or scheduled.
    std::size_t m_relayIndex = 0; ///< The index of the relay in use, in the order of `relaysFor`.
    std::string m_currentRelay; ///< The address of the relay in use.
    std::string m_source{StoreSource}; ///< Who confirmed the listings last.
    Millis m_retryRelaysAt{0}; ///< When relays that failed are tried again; monotonic time.
    Millis m_relayRetryTime; ///< How long after they failed; grows until one has responded.
    std::uint32_t m_sequence = 0;
    int m_regressions = 0; ///< Consecutive updates that end before the cached listings.
    Millis m_requestedAt{0}; ///< When the last request was sent, by the boot clock.
    net::Timer m_timer;
    PeerClient m_relayClient;
    std::uint64_t m_unusableListings = 0;
    std::uint64_t m_relayResponses = 0;
    std::uint64_t m_relayFailovers = 0;
};

} // namespace ibislock::feed
