// Follows a keyed topic of the platform's store: first the newest record of each key, then each new record. Starts over
// when the store no longer has the records that were missed, and goes on after outages.
//
//     TopicFeed feed(loop, client, store, {.topic = platform::TargetsTopic, .pause = Millis{500}}, events);
//     feed.start();

#pragma once

#include "ibislock/base/random.h"
#include "ibislock/net/http_client.h"
#include "ibislock/net/timer.h"
#include "ibislock/platform/settings.h"
#include "ibislock/platform/store_api.h"

namespace ibislock::feed
{

/// How a topic is followed.
struct FeedOptions
{
    std::string topic;
    Millis longPollTime{10000}; ///< How long the store holds a read back until there is a record.
    Millis passiveLongPollTime{0}; ///< The same while the feed is lazy.
    Millis minReadInterval{0}; ///< Between the beginnings of two reads; bounds the calls on a busy topic.
    Millis validityTime{0}; ///< How long a feed that is lazy relies on the last confirmation.
    bool newestOnly = false; ///< Of several records that were missed, the newest of each key is enough.
};

/// What the follower is told.
struct FeedEvents
{
    std::function<void(std::vector<platform::KeyedRecord>)> onSnapshot; ///< All keys; others are gone.
    std::function<void(const platform::KeyedRecord &)> onRecord;
    std::function<void(bool unreachable)> onStoreOutage; ///< The store was lost, or is back.

    /// Told after each call that succeeded: all up to `next()` has been told, as it was at a time of the boot clock.
    /// May be empty.
    std::function<void(Millis asOf)> onWatermark = {};
};

/// How long a call may take beyond its wait until its answer begins; the store answers in some 4 ms. An answer that has
/// begun may pause for as long: lost packets are sent again within some 200 ms, and twice.
inline constexpr Millis FirstByteTimeout{800};

/// How long the answer to a read that was held back is on its way at most, unless the link is so full that the VM
/// counts as slowed.
inline constexpr Millis MaxResponseTransit{150};

/// `CallTime` after calls that failed, `CallTime` longer each time: over a full link, asking anew only fills it more.
inline constexpr Millis MaxFirstByteTimeout{2400};

/// How long an answer may take in all; the store keeps 20 s of history, and a page that takes longer is better asked
/// for anew.
inline constexpr Millis MaxResponseTime{10000};

/// A call that began this recently is not given up for a hint; a large answer over a shared link takes some 100 ms.
inline constexpr Millis MinCancelAge{500};

/// The first pause after a failed call, doubled up to `LongestBackOff`; calls are priced, and outages last seconds.
inline constexpr Millis InitialBackoff{100};
inline constexpr Millis MaxBackoff{500};

/// Follows one topic.
class TopicFeed
{
public:
    TopicFeed(asio::io_context &loop, net::HttpClient &client, platform::Endpoint store, FeedOptions options,
              FeedEvents events);

    /// Begins.
    void start();

    /// Leaves it to other VMs to ask the store for news, or not any more. A lazy feed reads when a hint tells that
    /// there is something, or when nothing has confirmed for some time that there is not.
    void setPassive(bool passive);

    /// Notes that another VM has found that there is nothing behind `next()` that matters here.
    /// @param asOf when the store said so, by the boot clock.
    void markValidated(Millis asOf);

    /// Notes that another VM has seen the topic end at an offset; what `behindFor` tells counts from then on.
    void recordKnownEnd(std::int64_t end);

    /// Takes over records that another VM has read; what is under way is given up. Does nothing before the first
    /// snapshot, or if all of them are known.
    /// @param records the newest of each key behind `next()`.
    /// @param end the offset up to which they make the topic known.
    /// @param asOf when the topic ended there, by the boot clock.
    /// @return whether there was something new.
    bool applyRecords(std::vector<platform::KeyedRecord> records, std::int64_t end, Millis asOf);

    /// Stops to read, as the topic is followed elsewhere; what is under way is given up.
    void suspend();

    /// Reads on.
    /// @param next the offset up to which the topic is known from elsewhere.
    void resume(std::int64_t next);

    /// Reads at once if another process has seen records from an offset on that this one has not read. A read whose
    /// answer is coming in goes on: it is large or its link is narrow, and would only begin anew.
    /// @param end the offset behind the last record that the other has read.
    void notifyNewRecords(std::int64_t end);

    /// The offset behind the last record that was read; below 0 before the first snapshot.
    std::int64_t nextOffset() const;

    /// How many calls have been made.
    std::uint64_t calls() const;

    /// How many of them failed.
    std::uint64_t failures() const;

    /// How many of them were given up for a hint before their end.
    std::uint64_t cancelledCalls() const;

    /// For how long records have been known to exist that were not read; 0 if there are none.
    Millis lagTime() const;

    /// The longest time for which that was so.
    Millis maxLagTime() const;

    /// Tells whether a whole snapshot has been read since the start.
    bool synchronized() const;

private:
    void readSnapshot();
    void readNewest();
    void scheduleRead(Millis delay);
    void readUnlessValidated();
    void applyNewest(std::vector<platform::KeyedRecord> records, std::int64_t end);
    void readNext();
    void applySnapshotPage(const std::string &body);
    void applyReadPage(const std::string &body);
    void schedule(Millis delay, void (TopicFeed::*step)());
    void reportWatermark();
    void cancelCall();
    void advanceTo(std::int64_t next);
    void handleFailure(std::string_view cause, void (TopicFeed::*retry)());
    void handleSuccess();
    void call(const platform::ApiRequest &request, Millis timeout, void (TopicFeed::*retry)(),
              std::function<void(int status, const std::string &body)> done);

    net::HttpClient &m_client;
    platform::Endpoint m_store;
    FeedOptions m_options;
    FeedEvents m_events;
    net::Timer m_timer;
    Random m_random;
    std::vector<platform::KeyedRecord> m_snapshotRecords;
    std::int64_t m_nextOffset = -1;
    std::int64_t m_snapshotEnd = -1;
    Millis m_backoff = InitialBackoff;
    bool m_storeUnreachable = false;
    bool m_callActive = false; ///< A call is under way.
    Millis m_firstByteTimeout = FirstByteTimeout; ///< How long the next call may take until its answer begins.
    bool m_passive = false;
    bool m_readsNewest = false; ///< The snapshot that is read makes up for records that were missed.
    Millis m_validatedAt{0}; ///< By the boot clock.
    bool m_synchronized = false;
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
    std::uint64_t m_cancelledCalls = 0;
    std::int64_t m_knownEnd = -1; ///< The latest end that a hint told.
    std::optional<Millis> m_lagSince; ///< By the boot clock.
    Millis m_maxLag{0};
    std::shared_ptr<net::Exchange> m_exchange; ///< Of the call that is under way.
    std::int64_t m_notifiedEnd = -1;
    bool m_notificationPending = false; ///< The next read follows a hint, and is not to be held back.
    Millis m_callStartedAt{0};
    Millis m_callStartedAtBoot{0}; ///< The same by the boot clock.
    Millis m_longPollTime{0}; ///< How long the store may hold the present call back.
    std::uint64_t m_generation = 0; ///< Of the present call; answers to those before are ignored.
};

} // namespace ibislock::feed
