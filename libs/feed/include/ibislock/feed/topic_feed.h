// Follows a keyed topic of the platform's store: reads a snapshot with the newest record of each key, then each new
// record. Reads a new snapshot when the store no longer has the records that were missed or was restored from an older
// copy, and retries during outages.
//
//     TopicFeed feed(loop, client, store, {.topic = platform::TargetsTopic, .minReadInterval = Millis{500}}, events);
//     feed.start();

#pragma once

#include "ibislock/base/random.h"
#include "ibislock/net/http_client.h"
#include "ibislock/net/timer.h"
#include "ibislock/platform/settings.h"
#include "ibislock/platform/store_api.h"

namespace ibislock::feed
{

/// Default of `FeedOptions::minCancelAge`; a large response over a shared link takes about 100 ms.
inline constexpr Millis MinCancelAge{500};

/// Settings of a feed.
struct FeedOptions
{
    std::string topic;
    /// How long the store may hold a read until there is a record. A read that a record ended counts as of its start,
    /// and the next one is held for the rest only, so that the data is never older than this and a call.
    Millis longPollTime{10000};
    Millis passiveLongPollTime{
        0}; ///< The same while the feed is passive; without `validityTime` the age doesn't matter.
    Millis minReadInterval{0}; ///< Between the starts of two reads; limits the calls on a busy topic.
    Millis validityTime{0}; ///< How long a passive feed relies on the last validation.
    /// After which time a read of records that are known to exist is repeated beside the first one, which may be lost;
    /// 0 for never.
    Millis repeatTime{0};
    Millis minCancelAge =
        MinCancelAge; ///< A held call that is younger is not cancelled on a notification of new records.
    bool newestOnly = false; ///< Of several records that were missed, only the newest of each key is needed.
};

/// Callbacks of a feed.
struct FeedEvents
{
    /// The records of all keys; other keys no longer exist. A restored store may lack records that were delivered.
    std::function<void(std::vector<platform::KeyedRecord>)> onSnapshot;
    std::function<void(const platform::KeyedRecord &)> onRecord;
    std::function<void(bool unreachable)> onStoreOutage; ///< A store outage began (true) or ended (false).

    /// Called after each update that reached the end of the topic: all records before `position()` are delivered, and
    /// the topic ended there at the time `asOf` of the boot clock or later. May be empty.
    std::function<void(Millis asOf)> onWatermark = {};

    /// Returns tombstones of the keys that were deleted, as a snapshot lacks them. They are delivered with the records
    /// of the snapshot. May be empty.
    std::function<std::vector<platform::KeyedRecord>(const std::vector<platform::KeyedRecord> &snapshot,
                                                     const TopicPosition &end)>
        deletedRecords = {};

    /// Returns whether a passive feed, or any one before its first snapshot, may read records now, rather than leave
    /// that to other VMs, which pass them on. If it may not, and isn't known to be behind, it only asks the store for
    /// the end of the topic; before the first snapshot it asks for nothing. May be empty.
    std::function<bool()> mayReadRecords = {};

    /// Called if that end shows that records are unread. May be empty.
    std::function<void(const TopicPosition &end)> onUnreadRecords = {};

    /// Returns whether each missed record is needed, though `FeedOptions::newestOnly` is set. May be empty.
    std::function<bool()> needsEachRecord = {};
};

/// Timeout for the start of a response, beyond the time for which the store may hold the read; the store responds
/// within about 4 ms. A response that has started may stall for as long: lost packets are retransmitted within about
/// 200 ms, and possibly twice.
inline constexpr Millis FirstByteTimeout{800};

/// How long a response that the store doesn't hold may take until the store counts as unreachable when the call was
/// started; it takes some 10 ms unless a link on the way is full.
inline constexpr Millis ResponseOverdueTime{200};

/// Limit of the first-byte timeout, which grows by `FirstByteTimeout` with each failed call: over a congested link,
/// retries only add to the congestion.
inline constexpr Millis MaxFirstByteTimeout{2400};

/// How long a response may take in all; the store keeps 20 s of history, and a page that takes longer is better
/// requested again.
inline constexpr Millis MaxResponseTime{10000};

/// How often a call is repeated at most.
inline constexpr std::size_t MaxRepeats = 2;

/// Backoff after the first failed call, doubled up to `MaxBackoff`; calls are charged for, and outages last seconds.
inline constexpr Millis InitialBackoff{100};
inline constexpr Millis MaxBackoff{500};

/// Returns how long the store may hold a read, so that the data never gets older than `longest` and a call.
/// @param age the age of the data when the read is started.
Millis holdTimeFor(Millis longest, Millis age);

/// Follows one topic.
class TopicFeed
{
public:
    TopicFeed(asio::io_context &loop, net::HttpClient &client, platform::Endpoint store, FeedOptions options,
              FeedEvents events);

    /// Cancels the call under way.
    ~TopicFeed();
    TopicFeed(const TopicFeed &) = delete;
    TopicFeed &operator=(const TopicFeed &) = delete;

    /// Starts with reading a snapshot, once `FeedEvents::mayReadRecords` allows it.
    void start();

    /// Sets whether the feed is passive, i.e. leaves it to other VMs to poll the store. A passive feed reads when it is
    /// notified of new records, or when its data has not been validated for `FeedOptions::validityTime`. One that is no
    /// longer passive reads at once, as others rely on it. Not to be called while the feed is suspended.
    void setPassive(bool passive);

    /// Records that another VM has found no records after `position()` that are needed here.
    /// @param asOf when the store reported that, by the boot clock.
    void markValidated(Millis asOf);

    /// Records that another VM has seen the topic end at a position; if records before it are unread, `lagTime` counts
    /// from then on, until a read that was started later shows that the store doesn't have them. Responses of an era
    /// before it are ignored.
    void recordKnownEnd(const TopicPosition &end);

    /// Applies records that another VM has read, and cancels the call under way. Does nothing before the first
    /// snapshot, or if the topic is known up to `end`.
    /// @param records the newest record of each key from `position()` on; of each key if `end` is of a later era.
    /// @param end the position up to which the topic is known with these records.
    /// @param asOf when the topic ended there, by the boot clock.
    /// @return whether the records were applied.
    bool applyRecords(std::vector<platform::KeyedRecord> records, const TopicPosition &end, Millis asOf);

    /// Applies a snapshot that another VM has sent, and cancels the call under way. Does nothing behind the first
    /// snapshot, or if the end is unknown.
    /// @param records the newest record of each key.
    /// @param end the position up to which the topic is known with these records.
    /// @param asOf when the topic ended there, by the boot clock; zero if unknown.
    /// @return whether the snapshot was applied.
    bool applySnapshot(std::vector<platform::KeyedRecord> records, const TopicPosition &end, Millis asOf);

    /// Stops reading, as the topic is followed through another VM; cancels the call under way.
    void suspend();

    /// Resumes reading.
    /// @param position the position up to which the topic is known through other VMs.
    /// @param passive as in `setPassive`.
    void resume(const TopicPosition &position, bool passive);

    /// Reads at once, as another call has shown that the store responds. A call whose response is arriving goes on. Not
    /// to be called while the feed is suspended.
    void readNow();

    /// Notifies the feed of records that another process has read; those that are unread here are read at once. A read
    /// whose response is arriving goes on: it is large or its link is slow, and it would only start again.
    /// @param end the position after the last record that the other process has read.
    void notifyNewRecords(const TopicPosition &end);

    /// Waits for the time when this VM may read the records that are known to be unread, unless a call is under way;
    /// does nothing if it may read now, or before the first snapshot.
    void awaitTurn();

    /// Reads the first snapshot at once if it is allowed now; otherwise that is checked a few times a second. Does
    /// nothing if a call was made before.
    void beginIfAllowed();

    /// Returns the position after the last record that was read; unknown before the first snapshot.
    const TopicPosition &position() const;

    /// Returns the number of calls to the store.
    std::uint64_t calls() const;

    /// Returns the number of bytes in the bodies of the store's responses.
    std::uint64_t bytesRead() const;

    /// Returns the number of calls that failed.
    std::uint64_t failures() const;

    /// Returns the number of calls that were cancelled on a notification of new records.
    std::uint64_t cancelledCalls() const;

    /// Returns the number of reads that were sent beside an earlier one that had no response.
    std::uint64_t repeatedCalls() const;

    /// Returns how often the store was found to have been restored from an older copy.
    std::uint64_t restores() const;

    /// Returns the number of responses that were ignored as they were of an earlier era than the one that is known.
    std::uint64_t outdatedResponses() const;

    /// Returns whether unread records are known to exist.
    bool isBehind() const;

    /// Returns for how long unread records have been known to exist; 0 if there are none.
    Millis lagTime() const;

    /// Returns the greatest `lagTime` since the start.
    Millis maxLagTime() const;

    /// Returns the latest time, by the boot clock, at which the topic is known to have ended before the records that
    /// are being delivered; zero if unknown.
    Millis endKnownAt() const;

    /// Returns whether the last call failed.
    bool isUnreachable() const;

    /// Returns when the store was last found unreachable: the start, by the boot clock, of the last call that failed or
    /// that has been without a response for `ResponseOverdueTime`; zero if there was none.
    Millis lastUnreachableAt() const;

    /// Returns whether a snapshot is being read.
    bool isReadingSnapshot() const;

    /// Returns whether a complete snapshot has been read since the start.
    bool synchronized() const;

private:
    void readSnapshot();
    void readNewest();
    void scheduleRead(Millis delay);
    void readUnlessValidated();
    void applyNewest(std::vector<platform::KeyedRecord> records, const TopicPosition &end);
    void readNext();

    /// Returns how long the next call may take until the first byte of its response. The first snapshot of all VMs that
    /// start together takes seconds over a link that they share; it is repeated beside itself instead of begun anew.
    Millis firstByteTimeout() const;

    /// Returns whether other VMs are to read records now.
    bool leavesReadsToOthers() const;

    /// Waits until this VM may read records; asks for the end of the topic unless unread records are known to exist.
    void waitForTurn();
    void readEnd();
    void applyEnd(std::int64_t era, const std::string &body);

    /// Returns whether reading the newest record of each key takes fewer bytes than reading all that are unread.
    bool shouldReadNewest(const TopicPosition &end) const;
    void applySnapshotPage(std::int64_t era, const std::string &body);
    void finishSnapshot();
    void applyReadPage(std::int64_t era, const std::string &body);
    bool isRestored(std::int64_t era) const;
    void recordRestore(std::int64_t era);

    /// Returns the era of a response.
    /// @return the era, or why the response can't be used.
    Result<std::int64_t> eraOf(const http::ResponseHead &response);
    void schedule(Millis delay, void (TopicFeed::*step)());
    void reportWatermark(Millis asOf);
    Millis holdTime() const;

    /// Forgets a known end beyond the position if it was reported before a call that has shown the position to be the
    /// end.
    void forgetKnownEnd(std::uint64_t generation);
    void cancelCall();
    void advanceTo(const TopicPosition &position);
    void recordFailure(std::string_view cause);
    void handleFailure(std::string_view cause, void (TopicFeed::*retry)());
    void handleSuccess();

    /// Sends the request of the current call, for the first time or beside the earlier ones.
    void sendCall();

    /// Repeats the current call after `FeedOptions::repeatTime` if it then has no response and records are unread.
    void scheduleRepeat();
    void onCallEnd(const net::Exchange *exchange, net::ExchangeOutcome end, const http::ResponseHead &response,
                   const std::string &body);
    void cancelExchanges(const net::Exchange *kept = nullptr);
    bool isReceivingResponse() const;

    /// What a snapshot has taken.
    struct SnapshotRead
    {
        Millis startedAt{0}; ///< In monotonic time; earlier attempts count.
        std::uint64_t callsBefore = 0; ///< `m_calls` when it was started.
        std::uint64_t bytesBefore = 0; ///< The same for `m_bytesRead`.
    };

    void logSnapshot(std::size_t records);

    /// What is done with the response to a call.
    using ResponseHandler = std::function<void(std::int64_t era, int status, const std::string &body)>;
    void call(const platform::ApiRequest &request, Millis timeout, void (TopicFeed::*retry)(), ResponseHandler done);

    net::HttpClient &m_client;
    platform::Endpoint m_store;
    FeedOptions m_options;
    FeedEvents m_events;
    net::Timer m_timer;
    Random m_random;
    std::vector<platform::KeyedRecord> m_snapshotRecords;
    TopicPosition m_position;
    std::optional<TopicPosition> m_snapshotEnd; ///< The end as of the first page of the snapshot under way.
    Millis m_backoff = InitialBackoff;
    bool m_storeUnreachable = false;
    bool m_callActive = false; ///< A call is under way.
    Millis m_firstByteTimeout = FirstByteTimeout; ///< The timeout of the next call, which grows with each failure.
    bool m_passive = false;
    bool m_readsNewest = false; ///< The snapshot under way replaces records that were missed.
    Millis m_validatedAt{0}; ///< By the boot clock.
    Millis m_endKnownAt{0}; ///< When the topic is known to have ended at `m_position`, by the boot clock.
    bool m_synchronized = false;
    bool m_readingSnapshot = false; ///< A page of a snapshot is under way, or is requested next.
    std::uint64_t m_calls = 0;
    std::uint64_t m_bytesRead = 0;
    std::uint64_t m_failures = 0;
    std::uint64_t m_cancelledCalls = 0;
    std::uint64_t m_restores = 0;
    std::uint64_t m_outdatedResponses = 0;
    /// The highest end that is known from reports of other VMs. Reset to the end of each snapshot that is delivered by
    /// `FeedEvents::onSnapshot`, since the topic may have been recreated.
    TopicPosition m_knownEnd;
    std::uint64_t m_knownEndGeneration = 0; ///< `m_generation` when it was reported; later calls are greater.
    std::optional<Millis> m_lagSince; ///< By the boot clock.
    Millis m_maxLag{0};
    std::vector<std::shared_ptr<net::Exchange>> m_exchanges; ///< The exchanges of the call under way.
    std::string m_callBytes; ///< The request of the call under way.
    Millis m_callTimeout{0}; ///< Until the first byte of its response.
    void (TopicFeed::*m_callRetry)() = nullptr; ///< What follows if it fails.
    ResponseHandler m_callDone;
    std::size_t m_repeats = 0; ///< How often it was repeated.
    net::Timer m_repeatTimer;
    std::uint64_t m_repeatedCalls = 0;
    TopicPosition m_notifiedEnd; ///< The end of the last notification that led to a read.
    bool m_notificationPending = false; ///< The next read follows a notification, and the store must not hold it.
    Millis m_callStartedAt{0}; ///< In monotonic time.
    Millis m_callStartedAtBoot{0}; ///< The same by the boot clock.
    Millis m_lastFailedCallAt{0}; ///< When the last call that failed was started, by the boot clock.
    std::uint64_t m_snapshotGeneration = 0; ///< Of the call for the first page of the snapshot.
    Millis m_snapshotStartedAt{0}; ///< When the first page of the snapshot was requested, by the boot clock.
    std::optional<SnapshotRead> m_snapshotRead; ///< What the snapshot under way has taken so far.
    Millis m_longPollTime{0}; ///< How long the store may hold the current call.
    std::uint64_t m_generation = 0; ///< Identifies the current call; responses to earlier ones are ignored.
};

} // namespace ibislock::feed
