// Keeps the listings of targets: asks a relay of the own failure domain for changes, or reads the store if this VM is a
// relay itself or finds none that is fresh. What a relay says carries its age; one that is cut off from the store,
// frozen or gone is left after a fraction of the time in which a leaving target must be left alone.
//
//     ListingsFollower follower(loop, client, store, {.ip = "10.0.0.1", .domain = "a", .time = Millis{2000}}, events);
//     follower.start();

#pragma once

#include "ibislock/feed/listings_relay.h"
#include "ibislock/feed/operators_watermark.h"
#include "ibislock/feed/peer_client.h"
#include "ibislock/feed/topic_feed.h"

namespace ibislock::feed
{

/// How listings are followed.
struct ListingsFollowerOptions
{
    std::string ip; ///< Of this VM.
    std::string domain; ///< The failure domain.
    std::uint16_t port = 0; ///< At which relays are asked.
    bool servesListings = false; ///< Listens there itself; so target VMs do.
    bool isEntryVm = false; ///< Is an entry VM, and tells relays so.
    Millis drainTime{2000}; ///< In which a leaving target must be left alone.
};

/// What the owner is told.
struct ListingsFollowerEvents
{
    /// A listing changed; nothing if it was removed or names no target to use.
    std::function<void(const std::string &id, const std::optional<serving::TargetEntry> &entry)> onListing;
    std::function<void(bool unreachable)> onStoreOutage; ///< The store was lost, or is back, as this VM sees it.
    std::function<void(Millis at)> onStoreRecovered; ///< A relay says that the store came back then; monotonic time.
    std::function<bool(const serving::TargetEntry &)>
        hasDaemon; ///< Tells whether a daemon of ours runs beside a target.
    std::function<void(const OperatorsWatermark &)>
        onOperatorsWatermark; ///< A relay tells where the operators' topic ended.
    std::function<peer::TopicWatermark()> ownWatermark; ///< What this VM knows of it, told to those that ask.
    std::function<void(std::vector<std::string> vms)> onEntryVms; ///< Those that lately asked the relay.
};

/// The follower.
class ListingsFollower
{
public:
    ListingsFollower(asio::io_context &loop, net::HttpClient &client, platform::Endpoint store,
                     ListingsFollowerOptions options, ListingsFollowerEvents events);
    ~ListingsFollower();
    ListingsFollower(const ListingsFollower &) = delete;
    ListingsFollower &operator=(const ListingsFollower &) = delete;

    /// Begins.
    /// @return nothing, or what failed.
    asio::error_code start();

    /// All listings that are known.
    const ListingsCache &cache() const;

    /// Tells whether listings have been read since the start.
    bool synchronized() const;

    /// Tells whether this VM reads the store for others, or for want of a relay that answers.
    bool readsStoreForOthers() const;

    /// The relay that is asked; empty while the store is read.
    std::string relay() const;

    /// Calls to the store, and how many failed.
    std::uint64_t storeCalls() const;
    std::uint64_t storeFailures() const;

    /// Answers of relays that were taken over, relays that were left, and asks of others that were answered.
    std::uint64_t relayResponses() const;
    std::uint64_t relayFailovers() const;
    std::uint64_t responsesSent() const;

    /// Listings that name no target to use.
    std::uint64_t unusableListings() const;

private:
    peer::ListingChange decode(const platform::KeyedRecord &record);
    void applySnapshot(const std::vector<platform::KeyedRecord> &records);
    void applyRecord(const platform::KeyedRecord &record);
    void handleWatermark(Millis asOf);
    void notify(const std::vector<peer::ListingChange> &changes);
    std::vector<std::string> domainVms() const;
    void requestUpdate();
    void scheduleRequest(Millis delay);
    void handleFrame(const std::string &body);
    void applyUpdate(const peer::ListingsUpdate &update);
    void failOver(std::string_view cause);
    void closeConnection();
    void followStore();
    Millis fractionOfDrainTime(double fraction) const;

    ListingsFollowerOptions m_options;
    ListingsFollowerEvents m_events;
    ListingsCache m_cache;
    ListingsRelay m_relayServer;
    TopicFeed m_feed;
    bool m_readsStore = true;
    bool m_servesOthers = false; ///< Others may ask this VM for listings.
    bool m_requesting = false; ///< An ask is under way, or planned.
    std::size_t m_relayIndex = 0; ///< The place of the relay that is asked, in their order.
    std::string m_currentRelay; ///< The relay that is asked.
    Millis m_retryRelaysAt{0}; ///< When relays that failed are asked anew.
    std::uint32_t m_sequence = 0;
    int m_regressions = 0; ///< Answers in a row that end before what is known here.
    Millis m_requestedAt{0}; ///< By the boot clock.
    net::Timer m_timer;
    PeerClient m_relayClient;
    std::uint64_t m_unusableListings = 0;
    std::uint64_t m_relayResponses = 0;
    std::uint64_t m_relayFailovers = 0;
};

} // namespace ibislock::feed
