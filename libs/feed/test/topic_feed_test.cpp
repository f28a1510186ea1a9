#include "ibislock/feed/topic_feed.h"

#include "platform/store_stand_in.h"

#include <gtest/gtest.h>

namespace ibislock::feed
{

namespace
{

TopicPosition at(std::int64_t offset, std::int64_t era = 0)
{
    return {.era = era, .offset = offset};
}

/// A feed that reads a stand-in of the store, and what it has delivered.
class TopicFeedTest : public testing::Test
{
protected:
    TopicFeedTest()
        : m_feed(m_loop, m_client, {.ip = "127.0.0.1", .port = m_store.port()},
                 {.topic = "keyed.t",
                  .longPollTime = Millis{200},
                  .passiveLongPollTime = Millis{200},
                  .validityTime = Millis{300}},
                 {.onSnapshot =
                      [this](const std::vector<platform::KeyedRecord> &records) {
                          for (const platform::KeyedRecord &record : records) {
                              m_values[record.key] = record.value.value_or("");
                          }
                      },
                  .onRecord =
                      [this](const platform::KeyedRecord &record) {
                          m_values[record.key] = record.value.value_or("");
                          ++m_recordsDelivered;
                          m_endKnownAt = m_feed.endKnownAt();
                          notifyAfter(m_notifyRounds);
                      },
                  .onStoreOutage = [this](bool unreachable) { m_storeUnreachable = unreachable; },
                  .onWatermark =
                      [this](Millis asOf) {
                          m_asOf = asOf;
                      }})
    {
    }

    /// Notifies the feed after some rounds of the loop, so that this coincides with the already queued end of a held
    /// read.
    void notifyAfter(int rounds)
    {
        if (rounds == 0) {
            m_feed.notifyNewRecords(advancedBy(m_feed.position(), 1));
        } else if (rounds > 0) {
            asio::post(m_loop, [this, rounds] { notifyAfter(rounds - 1); });
        }
    }

    /// Runs the loop until a condition holds, or for some seconds.
    bool runUntil(const std::function<bool()> &holds)
    {
        const Millis end = steadyMillis() + m_timeLimit;
        while (!holds() && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(20));
        }
        return holds();
    }

    asio::io_context m_loop;
    lab::StoreStandIn m_store{m_loop};
    net::HttpClient m_client{m_loop};
    std::map<std::string, std::string> m_values;
    int m_recordsDelivered = 0;
    Millis m_endKnownAt{0}; ///< What the feed knew when it delivered the last record.
    bool m_storeUnreachable = false;
    Millis m_timeLimit{5000};
    Millis m_asOf{0}; ///< When the topic ended at what is known of it, as reported.
    int m_notifyRounds = -1; ///< From each record to a notification; below 0 for none.
    TopicFeed m_feed;
};

TEST_F(TopicFeedTest, KnowsSinceWhenARecordCanHaveExisted)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_feed.synchronized(); }));
    const Millis beforeValidation = bootMillis();
    m_feed.markValidated(beforeValidation);
    m_store.append("k", "v");
    ASSERT_TRUE(runUntil([&] { return m_recordsDelivered == 1; }));
    EXPECT_GE(m_endKnownAt, beforeValidation);
    EXPECT_LE(m_endKnownAt, bootMillis());
    EXPECT_GE(m_feed.endKnownAt(), m_endKnownAt);
}

TEST_F(TopicFeedTest, DeliversTheSnapshotThenEachRecord)
{
    m_store.append("a", "1");
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_values["a"] == "1" && m_store.reads > 0; }));
    m_store.append("a", "2");
    EXPECT_TRUE(runUntil([&] { return m_values["a"] == "2"; }));
    EXPECT_EQ(m_feed.position().offset, 2);
}

TEST_F(TopicFeedTest, AResponseThatWasLongUnderWayCountsAsOfBeforeItWasSent)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    m_store.spread = Millis{800};
    m_store.append("a", "1");
    m_loop.run_for(Millis{50});
    ASSERT_FALSE(m_values.contains("a"));
    m_store.append("b", "1");
    const Millis unreadSince = bootMillis();
    ASSERT_TRUE(runUntil([&] { return m_values.contains("a"); }));
    ASSERT_FALSE(m_values.contains("b"));
    EXPECT_LT(m_asOf, unreadSince);
}

TEST_F(TopicFeedTest, ASnapshotCountsAsOfItsFirstPage)
{
    for (const char *key : {"a", "b", "c"}) {
        m_store.append(key, "1");
    }
    m_store.snapshotPageSize = 1;
    m_store.snapshotDelay = Millis{100};
    const Millis startedAt = bootMillis();
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_feed.synchronized(); }));
    EXPECT_EQ(m_store.snapshots, 3);
    EXPECT_EQ(m_values.size(), 3U);
    EXPECT_LT(m_asOf - startedAt, m_store.snapshotDelay);
}

TEST_F(TopicFeedTest, AfterAReadThatARecordEndedTheNextOneIsHeldForTheRest)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    m_loop.run_for(Millis{100});
    m_store.append("a", "1");
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 1; }));
    EXPECT_LE(m_store.lastWait, 100U); // The limit is 200 ms.
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 2; }));
    EXPECT_GT(m_store.lastWait, 100U);
}

TEST_F(TopicFeedTest, AReadThatWasHeldToItsLimitCountsAsOfThatLimit)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    const Millis startedAt = bootMillis();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 1; }));
    EXPECT_GE(m_asOf - startedAt, Millis{100}); // The limit is 200 ms.
}

TEST_F(TopicFeedTest, AReadStartedByANotificationIsNotCancelledByTheNext)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    m_store.delay = Millis{600}; // A large response over a congested link; longer than `MinCancelAge`.
    m_loop.run_for(std::chrono::milliseconds(10));
    m_store.append("k", "1");
    const int before = m_store.reads;
    for (int n = 1; n < 25; ++n) {
        m_feed.notifyNewRecords(at(n));
        m_loop.run_for(std::chrono::milliseconds(100));
        if (n == 11) {
            EXPECT_LE(m_store.reads - before, 3);
        }
    }
    EXPECT_EQ(m_values["k"], "1") << "the response arrived while notifications went on";
}

TEST_F(TopicFeedTest, APassiveFeedDoesNotReadWhileItIsValidated)
{
    m_feed.setPassive(true);
    m_feed.markValidated(bootMillis());
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_feed.synchronized(); }));
    for (int n = 0; n < 10; ++n) {
        m_feed.markValidated(bootMillis());
        m_loop.run_for(std::chrono::milliseconds(50));
    }
    EXPECT_EQ(m_store.reads, 0);
    m_store.append("a", "1");
    m_feed.notifyNewRecords(at(1));
    EXPECT_TRUE(runUntil([&] { return m_values["a"] == "1"; }));
}

TEST_F(TopicFeedTest, RecordsOfAnotherVmAreAppliedOnceDuringARead)
{
    m_store.append("a", "1");
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_feed.synchronized() && m_store.reads > 0; }));
    m_store.delay = Millis{100};
    m_store.append("a", "2"); // Its response is under way.
    EXPECT_TRUE(m_feed.applyRecords({{.key = "a", .value = "2", .position = at(1)}}, at(2), bootMillis()));
    EXPECT_EQ(m_feed.position().offset, 2);
    m_loop.run_for(Millis{300});
    EXPECT_EQ(m_recordsDelivered, 1);
    EXPECT_FALSE(m_feed.applyRecords({{.key = "a", .value = "1", .position = at(0)}}, at(1), bootMillis())) << "older";
    m_store.append("a", "3");
    EXPECT_TRUE(runUntil([&] { return m_values["a"] == "3"; })) << "goes on after the records that were applied";
    EXPECT_EQ(m_recordsDelivered, 2);
}

TEST_F(TopicFeedTest, RecordsOfAnotherVmAreAppliedInAStoreOutageAndTheStoreIsRetried)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_feed.synchronized() && m_store.reads > 0; }));
    m_store.refusals = 1'000'000;
    ASSERT_TRUE(runUntil([&] { return m_storeUnreachable; }));
    EXPECT_TRUE(m_feed.applyRecords({{.key = "a", .value = "1", .position = at(0)}}, at(1), bootMillis()));
    EXPECT_EQ(m_values["a"], "1");
    EXPECT_TRUE(m_storeUnreachable);
    m_store.append("a", "1");
    m_store.refusals = 0;
    EXPECT_TRUE(runUntil([&] { return !m_storeUnreachable; }));
    EXPECT_EQ(m_recordsDelivered, 1);
}

TEST_F(TopicFeedTest, ReportsForHowLongKnownRecordsHaveBeenUnread)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_feed.synchronized() && m_store.reads > 0; }));
    EXPECT_EQ(m_feed.lagTime(), Millis{0});
    m_store.silent = true;
    m_loop.run_for(MinCancelAge);
    m_feed.notifyNewRecords(at(1));
    m_loop.run_for(Millis{200});
    EXPECT_GE(m_feed.lagTime(), Millis{200});
    m_store.silent = false;
    m_store.append("a", "1");
    ASSERT_TRUE(runUntil([&] { return m_values["a"] == "1"; }));
    EXPECT_EQ(m_feed.lagTime(), Millis{0});
    EXPECT_GE(m_feed.maxLagTime(), Millis{200});
}

// The feed counted as behind for good, whatever the store responded.
TEST_F(TopicFeedTest, AReportedEndThatTheStoreDoesNotHaveIsForgotten)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads == 1; }));
    m_feed.recordKnownEnd(at(5));
    ASSERT_TRUE(runUntil([&] { return m_store.reads == 2; }));
    EXPECT_TRUE(m_feed.isBehind()) << "the first read was started before the end was reported";
    EXPECT_TRUE(runUntil([&] { return !m_feed.isBehind(); }));
    EXPECT_EQ(m_feed.lagTime(), Millis{0});
    m_store.append("a", "1");
    EXPECT_TRUE(runUntil([&] { return m_values["a"] == "1"; }));
}

TEST_F(TopicFeedTest, APassiveFeedReadsWhenItIsNoLongerValidated)
{
    m_feed.setPassive(true);
    m_feed.markValidated(bootMillis());
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_feed.synchronized(); }));
    m_store.append("a", "1");
    EXPECT_TRUE(runUntil([&] { return m_values["a"] == "1"; }));
}

// The store held the read to its limit, so that the data got twice as old as they may before the VM knew them again.
TEST_F(TopicFeedTest, APassiveFeedThatIsNoLongerValidatedKnowsTheEndAtOnce)
{
    m_feed.setPassive(true);
    m_feed.markValidated(bootMillis());
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads == 1; }));
    EXPECT_EQ(m_store.lastWait, 0U); // The limit is 200 ms, and the data are older.
    ASSERT_TRUE(runUntil([&] { return m_store.reads == 2; }));
    EXPECT_GT(m_store.lastWait, 100U);
}

TEST_F(TopicFeedTest, ANotificationDuringAHeldReadDeliversNoRecordTwice)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    for (int n = 1; n <= 20; ++n) {
        m_feed.notifyNewRecords(at(n));
        m_store.append("k", std::to_string(n));
        m_feed.notifyNewRecords(at(n + 1));
        ASSERT_TRUE(runUntil([&] { return m_values["k"] == std::to_string(n); })) << n;
    }
    EXPECT_EQ(m_feed.position().offset, 20);
    EXPECT_EQ(m_recordsDelivered, 20);
}

TEST_F(TopicFeedTest, ANotificationAtTheEndOfAHeldReadDoesNotReadTwice)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    for (int n = 1; n <= 24; ++n) {
        m_notifyRounds = n % 6;
        m_store.append("k", std::to_string(n));
        ASSERT_TRUE(runUntil([&] { return m_values["k"] == std::to_string(n); })) << n;
        for (int round = 0; round < 50; ++round) {
            m_loop.poll_one();
        }
        ASSERT_LE(m_feed.position().offset, n);
    }
    EXPECT_EQ(m_recordsDelivered, 24);
}

TEST_F(TopicFeedTest, ManyNotificationsDoNotKeepAReadFromCompleting)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    // The store responds to each read 30 ms late, and other VMs notify of new records every 10 ms.
    m_store.delay = Millis{30};
    m_store.append("k", "0");
    asio::steady_timer timer(m_loop);
    std::int64_t end = 1;
    std::function<void(const asio::error_code &)> notify = [&](const asio::error_code &ec) {
        if (!ec) {
            m_store.append("k", std::to_string(end));
            m_feed.notifyNewRecords(at(++end));
            timer.expires_after(Millis{10});
            timer.async_wait(notify);
        }
    };
    notify({});
    const Millis last = steadyMillis() + Millis{1000};
    EXPECT_TRUE(runUntil([&] { return m_recordsDelivered > 20 || steadyMillis() > last; }));
    EXPECT_GT(m_recordsDelivered, 20);
    timer.cancel();
}

TEST_F(TopicFeedTest, AResponseThatArrivesSlowlyIsNotCancelled)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads == 1; }));
    // The response takes longer than the first-byte timeout, and other VMs notify of new records meanwhile.
    m_store.spread = 2 * FirstByteTimeout;
    m_store.append("k", std::string(20000, 'x'));
    asio::steady_timer timer(m_loop);
    std::int64_t end = 1;
    std::function<void(const asio::error_code &)> notify = [&](const asio::error_code &ec) {
        if (!ec) {
            m_feed.notifyNewRecords(at(++end));
            timer.expires_after(Millis{100});
            timer.async_wait(notify);
        }
    };
    notify({});
    ASSERT_TRUE(runUntil([&] { return m_recordsDelivered > 0; }));
    EXPECT_EQ(m_store.reads, 1);
    EXPECT_FALSE(m_storeUnreachable);
    timer.cancel();
}

TEST_F(TopicFeedTest, ReadsASnapshotWhenTheStoreHasTrimmedUnreadRecords)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    m_store.silent = true;
    m_store.append("a", "1");
    m_store.append("a", "2");
    m_store.trim(2);
    m_store.silent = false;
    EXPECT_TRUE(runUntil([&] { return m_values["a"] == "2"; }));
}

// A record that got the offset of a lost one was never read.
TEST_F(TopicFeedTest, ARecordAtTheOffsetOfALostOneIsDelivered)
{
    m_store.era = 1;
    m_store.append("a", "1");
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    m_store.append("a", "2");
    ASSERT_TRUE(runUntil([&] { return m_values["a"] == "2"; }));
    m_store.restore(1);
    m_store.append("b", "1");
    EXPECT_TRUE(runUntil([&] { return m_values["b"] == "1"; }));
    EXPECT_EQ(m_feed.position(), at(2, 2));
    EXPECT_EQ(m_feed.restores(), 1U);
}

// A restored topic that has grown beyond the known end looked like one with a few new records.
TEST_F(TopicFeedTest, ARestoredTopicThatHasGrownIsReadFromItsBeginning)
{
    m_store.era = 1;
    m_store.append("a", "1");
    m_store.append("b", "1");
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    m_store.silent = true;
    m_store.restore(1);
    m_store.append("b", "2");
    m_store.append("c", "1");
    m_store.append("d", "1");
    m_store.silent = false;
    EXPECT_TRUE(runUntil([&] { return m_values["d"] == "1"; }));
    EXPECT_EQ(m_values["b"], "2");
    EXPECT_EQ(m_values["c"], "1");
}

TEST_F(TopicFeedTest, ASecondRestoreWithinSecondsIsNoticed)
{
    m_store.era = 1;
    m_store.append("a", "1");
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    for (int n = 2; n < 5; ++n) {
        m_store.restore(1);
        m_store.append("b", std::to_string(n));
        ASSERT_TRUE(runUntil([&] { return m_values["b"] == std::to_string(n); })) << n;
        EXPECT_EQ(m_feed.position(), at(2, n));
    }
}

TEST_F(TopicFeedTest, ASnapshotDuringWhichTheStoreIsRestoredIsReadAgain)
{
    m_store.era = 1;
    for (const char *key : {"a", "b", "c"}) {
        m_store.append(key, "1");
    }
    m_store.snapshotPageSize = 1;
    m_store.snapshotDelay = Millis{100};
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.snapshots == 2; }));
    m_store.restore(0);
    m_store.append("a", "2");
    EXPECT_TRUE(runUntil([&] { return m_feed.synchronized(); }));
    EXPECT_EQ(m_values["a"], "2");
    EXPECT_EQ(m_feed.position(), at(1, 2));
}

TEST_F(TopicFeedTest, AResponseOfAnEarlierEraIsIgnored)
{
    m_store.era = 1;
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    m_feed.notifyNewRecords(at(1, 2)); // Another VM has read the restored store.
    m_store.append("a", "1");
    ASSERT_TRUE(runUntil([&] { return m_feed.outdatedResponses() > 0; }));
    EXPECT_FALSE(m_values.contains("a"));
    m_store.restore(1);
    EXPECT_TRUE(runUntil([&] { return m_values["a"] == "1"; }));
}

TEST_F(TopicFeedTest, AResponseWithoutAnEraIsIgnoredOnceOneWasReported)
{
    m_store.era = 1;
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    m_store.era = 0;
    m_store.append("a", "1");
    ASSERT_TRUE(runUntil([&] { return m_feed.outdatedResponses() > 0; }));
    EXPECT_FALSE(m_values.contains("a"));
    m_store.era = 1;
    EXPECT_TRUE(runUntil([&] { return m_values["a"] == "1"; }));
}

TEST_F(TopicFeedTest, RecordsOfAnotherVmInALaterEraAreApplied)
{
    m_store.era = 1;
    m_store.append("a", "1");
    m_store.append("a", "2");
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_feed.synchronized() && m_store.reads > 0; }));
    EXPECT_TRUE(m_feed.applyRecords({{.key = "a", .value = "3", .position = at(0, 2)}}, at(1, 2), bootMillis()));
    EXPECT_EQ(m_values["a"], "3");
    EXPECT_EQ(m_feed.position(), at(1, 2));
    EXPECT_FALSE(m_feed.applyRecords({{.key = "a", .value = "2", .position = at(1, 1)}}, at(2, 1), bootMillis()));
}

TEST_F(TopicFeedTest, ARejectingStoreIsUnreachableUntilItResponds)
{
    m_store.refusals = 3;
    m_store.append("a", "1");
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_storeUnreachable; }));
    EXPECT_TRUE(runUntil([&] { return !m_storeUnreachable && m_values["a"] == "1"; }));
}

TEST_F(TopicFeedTest, AnUnreachableStoreIsReadWithoutLongPolls)
{
    // A read that is held for 10 s would notice the recovery of the store 10 s late.
    constexpr Millis HoldTime{200};
    const Millis startedAt = bootMillis();
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    // The rest of the time since the snapshot was requested.
    EXPECT_GE(Millis{m_store.lastWait}, HoldTime - (bootMillis() - startedAt));
    EXPECT_LE(Millis{m_store.lastWait}, HoldTime);
    m_store.silent = true;
    ASSERT_TRUE(runUntil([&] { return m_storeUnreachable; }));
    ASSERT_TRUE(runUntil([&] { return m_store.lastWait == 0; }));
    m_store.silent = false;
    EXPECT_TRUE(runUntil([&] { return !m_storeUnreachable && Millis{m_store.lastWait} >= HoldTime * 9 / 10; }));
    EXPECT_LE(Millis{m_store.lastWait}, HoldTime);
}

TEST_F(TopicFeedTest, ALostResponseTimesOutAndIsReadAgain)
{
    m_feed.start();
    ASSERT_TRUE(runUntil([&] { return m_store.reads > 0; }));
    m_store.silent = true;
    ASSERT_TRUE(runUntil([&] { return m_storeUnreachable; }));
    m_store.silent = false;
    m_store.append("a", "1");
    EXPECT_TRUE(runUntil([&] { return m_values["a"] == "1"; }));
}

} // namespace

} // namespace ibislock::feed
