// Follows the operators' topic. A VM that learns of new records requests them from an entry VM of its failure domain.
// It reads the store only if it is the root of the domain's tree or none of its sources has the records. So a desired
// state crosses the links between regions a few times instead of once for each VM, and reaches VMs whose calls the
// store rejects. The same holds for the state with which a VM starts: it waits until the listings of targets tell which
// VMs to ask.
//
//     OperatorsFollower follower(loop, client, store, {.ip = "10.0.0.1", .port = 7715, .isEntryVm = true}, events);
//     follower.start();
//     follower.applyWatermark(watermark, watermark.end);    // as reported by other VMs

#pragma once

#include "ibislock/feed/long_poll_server.h"
#include "ibislock/feed/lost_records_query.h"
#include "ibislock/feed/operators_watermark.h"
#include "ibislock/feed/peer_client.h"
#include "ibislock/feed/records_cache.h"
#include "ibislock/feed/source_order.h"
#include "ibislock/feed/topic_feed.h"
#include "ibislock/peer/records.h"

#include <map>

namespace ibislock::feed
{

/// Settings of a follower.
struct OperatorsFollowerOptions
{
    std::string ip; ///< The address of this VM.
    std::uint16_t port = 0; ///< The port on which entry VMs listen.
    bool isEntryVm = false; ///< This is an entry VM: it listens on `port` and answers others.
    Millis stateTime{2000}; ///< The time within which a desired state must take effect.
    /// Other VMs of the domain may be starting as well, so that this one waits for them before it reads the store.
    bool startsWithOthers = true;
    LongPollLimits limits = {}; ///< Of the connections of other VMs.
};

/// Follows the operators' topic through other VMs, or from the store.
class OperatorsFollower
{
public:
    /// @param events receive by `onSnapshot`, beside snapshots, records in force at another VM that the topic lacks.
    OperatorsFollower(asio::io_context &loop, net::HttpClient &client, platform::Endpoint store,
                      OperatorsFollowerOptions options, FeedEvents events);

    /// Starts to follow, and to listen on an entry VM.
    /// @return an empty code, or why the address can't be listened on.
    asio::error_code start();

    /// Sets the entry VMs of the failure domain, among which sources are chosen. A VM that starts reads nothing before.
    /// @param vms the addresses of the entry VMs.
    /// @param complete whether they are all that there are; other lists are used until the first snapshot only.
    void setEntryVms(std::vector<std::string> vms, bool complete = true);

    /// Records that no VM of the domain that knows its entry VMs has been found; may be called repeatedly. If that
    /// remains so, a VM that starts reads the store.
    void recordNoRelay();

    /// Records that a record took effect here. It is handed out to VMs that start while the topic lacks it, until a
    /// deletion of its key takes effect.
    void recordInForce(const platform::KeyedRecord &record);

    /// Returns the records in force here that the topic lacks, or may lack.
    /// @param era the era in which the requesting VM has read the store.
    std::vector<peer::TopicRecord> lostRecords(std::int64_t era) const;

    /// Returns whether such records of a relay are needed; its entry VMs are expected in `setEntryVms` next.
    bool wantsLostRecords() const;

    /// Applies such records of another VM.
    void applyLostRecords(const std::string &vm, const std::vector<peer::TopicRecord> &records);

    /// Returns whether what has been read is complete: after a start, a topic that was restored from an older copy may
    /// lack records by which other VMs go, and these are asked first. It is complete, too, if no VM responds in time.
    bool isCaughtUp() const;

    /// Applies the watermark of another VM. Records before `end` that are unknown here are requested.
    /// @param end the position up to which this VM needs the topic; at most that of the watermark.
    void applyWatermark(const OperatorsWatermark &watermark, TopicPosition end);

    /// Sets whether this VM is passive, i.e. leaves it to others to poll the store.
    void setPassive(bool passive);

    /// Returns the feed that reads the store.
    const TopicFeed &feed() const;

    /// Returns the VM whose records are being delivered; empty if they were read from the store.
    const std::string &recordSource() const;

    /// Returns the number of updates of other VMs that brought new records.
    std::uint64_t peerUpdatesApplied() const;

    /// Returns the number of requests to other VMs that brought no new records.
    std::uint64_t failedRequests() const;

    /// Returns the number of requests of other VMs that were answered.
    std::uint64_t responsesSent() const;

    /// Returns the number of open connections of other VMs.
    std::size_t peerConnections() const;

private:
    FeedEvents withCache(FeedEvents events);

    /// Requests records up to an end that was reported or read, unless they are known.
    void applyKnownEnd(const OperatorsWatermark &watermark, const TopicPosition &end);
    std::vector<std::string> sources() const;

    /// Returns the sources, in the order in which they are tried, before those that failed are left out.
    std::vector<std::string> sourcesInOrder() const;
    StoreTurns turns() const;

    /// Returns for how long this VM has lacked records that others may have.
    Millis timeWithoutRecords() const;

    /// Returns whether this VM may read records from the store now, while it is passive.
    bool mayReadRecords() const;

    /// Returns whether this VM may read its first snapshot from the store now.
    bool mayReadSnapshot() const;
    void applySnapshot(std::vector<platform::KeyedRecord> records, const TopicPosition &end);

    /// Asks the sources for the missing records, one after the other.
    void startRound();
    void requestNext();
    void awaitResponse(Millis time);
    void handleFrame(const std::string &body);
    void applyUpdate(const peer::RecordsUpdate &update);
    void failOver(std::string_view cause);
    Millis fractionOfStateTime(double fraction) const;

    OperatorsFollowerOptions m_options;
    std::function<void(std::vector<platform::KeyedRecord>)> m_onSnapshot; ///< As passed to the constructor.
    RecordsCache m_cache;
    bool m_storeUnreachable = false; ///< A call to the store failed and none has succeeded since.
    bool m_passive = false;
    TopicFeed m_feed;
    LongPollServer<peer::RecordsRequest> m_server;
    PeerClient m_sourceClient;
    LostRecordsQuery m_lostRecordsQuery;
    net::Timer m_timer;
    std::vector<std::string> m_entryVms;
    Millis m_entryVmsKnownAt{0}; ///< When they were first set; 0 before. In monotonic time, as the next one.
    Millis m_noRelaySince{0}; ///< 0 unless no relay was found.
    Millis m_timeAlone{0}; ///< How long this VM waits for other VMs before it reads its first snapshot by itself.
    std::map<std::string, Millis, std::less<>> m_avoidedUntil; ///< VMs that didn't respond; monotonic time.
    std::vector<std::string> m_sources; ///< The VMs to try, in their order.
    std::size_t m_sourceIndex = 0; ///< The index of the current one in `m_sources`.
    std::string m_recordSource; ///< The VM whose update is being applied; empty for none.
    bool m_requesting = false;
    Millis m_heardAt{0}; ///< When another VM reported a watermark last, in monotonic time.
    bool m_roundCompleted = false; ///< All sources have been asked since this VM fell behind.
    bool m_sourceResponded = false; ///< One of them has responded in the present round.
    bool m_isAlone = false; ///< None responded in the last round.
    TopicPosition m_wantedEnd; ///< The position up to which records are requested.
    OperatorsWatermark m_reported; ///< The watermark by which they are requested; it may end behind them.
    std::uint32_t m_sequence = 0;
    std::uint64_t m_peerUpdatesApplied = 0;
    std::uint64_t m_failedRequests = 0;
};

} // namespace ibislock::feed
