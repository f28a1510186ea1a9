#include "ibislock/feed/lost_records_query.h"

#include "ibislock/feed/long_poll_server.h"
#include "ibislock/feed/records_cache.h"

#include <gtest/gtest.h>

namespace ibislock::feed
{

namespace
{

constexpr Millis ResponseTime{100};
constexpr Millis MaxWait{500};
constexpr TopicPosition Restored{.era = 2, .offset = 3};

platform::KeyedRecord recordOf(const std::string &key, const std::string &value, const TopicPosition &position)
{
    return {.key = key, .value = value, .position = position};
}

TEST(LostRecordsTest, AreThoseInForceThatARestoredTopicLacks)
{
    RecordsCache cache{.newest = {}, .end = {.era = 1, .offset = 8}, .inForce = {}};
    for (const std::string key : {"config", "dropped", "same"}) {
        applyTopicRecord(cache, recordOf(key, "new", {.era = 1, .offset = 7}));
        cache.inForce[key] = cache.newest[key];
    }
    EXPECT_TRUE(lostRecords(cache, 1).empty());
    EXPECT_EQ(lostRecords(cache, 2).size(), 3U) << "it is not known here what the restored topic holds";
    applyTopicRecord(cache, recordOf("config", "old", {.era = 2, .offset = 1}));
    applyTopicRecord(cache, recordOf("same", "new", {.era = 2, .offset = 2}));
    cache.end = {.era = 2, .offset = 3};
    const auto lost = lostRecords(cache, 2);
    ASSERT_EQ(lost.size(), 2U);
    EXPECT_EQ(lost[0].key, "config");
    EXPECT_EQ(lost[0].value, "new");
    EXPECT_EQ(lost[1].key, "dropped");
    applyTopicRecord(cache, recordOf("config", "new", {.era = 2, .offset = 3}));
    EXPECT_EQ(lostRecords(cache, 2).size(), 1U) << "it was written again";
}

// A snapshot shows a deletion only by the lack of a key, and the lack of a key in a later era shows nothing.
TEST(DeletedRecordsTest, AreOfKeysThatALaterSnapshotOfTheSameEraLacks)
{
    RecordsCache cache{.newest = {}, .end = {.era = 1, .offset = 6}, .inForce = {}};
    applyTopicRecord(cache, recordOf("first", "x", {.era = 1, .offset = 1}));
    applyTopicRecord(cache, recordOf("kept", "x", {.era = 1, .offset = 2}));
    applyTopicRecord(cache, recordOf("second", "x", {.era = 1, .offset = 5}));
    cache.newest["gone"] = {.key = "gone", .value = std::nullopt, .position = {.era = 1, .offset = 4}};
    SnapshotContent content{.keys = {"kept", "new"}, .usedPositions = {}, .end = {.era = 1, .offset = 9}};
    content.usedPositions = {{.era = 1, .offset = 2}, {.era = 1, .offset = 8}};
    const auto deleted = deletedRecords(cache, content);
    ASSERT_EQ(deleted.size(), 2U);
    EXPECT_EQ(deleted[0].key, "second");
    EXPECT_FALSE(deleted[0].value);
    EXPECT_EQ(deleted[0].position, (TopicPosition{.era = 1, .offset = 7})) << "no other record is there";
    EXPECT_EQ(deleted[1].key, "first");
    EXPECT_EQ(deleted[1].position, (TopicPosition{.era = 1, .offset = 6}));
    content.end = {.era = 1, .offset = 2};
    ASSERT_EQ(deletedRecords(cache, content).size(), 1U) << "the snapshot is older than the other records";
    content.end = {.era = 2, .offset = 9};
    EXPECT_TRUE(deletedRecords(cache, content).empty());
}

/// VMs that answer on loopback addresses.
class LostRecordsQueryTest : public testing::Test
{
protected:
    using Server = LongPollServer<peer::RecordsRequest>;

    LostRecordsQueryTest()
    {
        net::Listener probe(m_loop, [](const std::shared_ptr<net::Connection> &) {});
        EXPECT_FALSE(probe.open("127.0.6.1", 0));
        m_port = probe.port();
        probe.close();
    }

    /// Adds a VM that answers with records.
    void addVm(const std::string &ip, std::vector<peer::TopicRecord> records)
    {
        m_vms.push_back(ip);
        m_servers.push_back(std::make_unique<Server>(
            m_loop,
            LongPollHandler<peer::RecordsRequest>{
                .decode = [](std::string_view body) -> Result<peer::RecordsRequest> {
                    return std::get<peer::RecordsRequest>(*peer::decodeRecords(body));
                },
                .isReady = [](const peer::RecordsRequest &) { return true; },
                .makeResponse =
                    [this, records = std::move(records)](const peer::RecordsRequest &request, Millis) {
                        EXPECT_FALSE(request.awaitedEnd.isKnown());
                        ++m_requests;
                        return encode(
                            peer::RecordsUpdate{.sequence = request.sequence, .end = Restored, .records = records});
                    }}));
        ASSERT_FALSE(m_servers.back()->open(ip, m_port));
    }

    std::unique_ptr<LostRecordsQuery> makeQuery()
    {
        return std::make_unique<LostRecordsQuery>(
            m_loop,
            LostRecordsQueryOptions{
                .ip = "127.0.6.100", .port = m_port, .responseTime = ResponseTime, .maxWait = MaxWait},
            [this](const std::string &, const std::vector<peer::TopicRecord> &records) {
                for (const peer::TopicRecord &record : records) {
                    m_delivered.push_back(record.value.value_or(""));
                }
            });
    }

    bool runUntilCompleted(const LostRecordsQuery &query)
    {
        for (const Millis end = steadyMillis() + Millis{5000}; !query.completed() && steadyMillis() < end;) {
            m_loop.run_one_for(std::chrono::milliseconds(20));
        }
        return query.completed();
    }

    asio::io_context m_loop;
    std::uint16_t m_port = 0;
    std::vector<std::string> m_vms;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::string> m_delivered;
    int m_requests = 0;
};

TEST_F(LostRecordsQueryTest, CompletesAfterSomeVmsWereAsked)
{
    for (int n = 1; n <= 6; ++n) {
        addVm("127.0.6." + std::to_string(n), {{.key = "config", .value = "new", .position = {.era = 1, .offset = 7}}});
    }
    const auto query = makeQuery();
    query->setVms(m_vms);
    EXPECT_FALSE(query->completed()) << "before the first snapshot";
    query->start(Restored);
    EXPECT_FALSE(query->completed());
    ASSERT_TRUE(runUntilCompleted(*query));
    EXPECT_EQ(m_delivered, std::vector<std::string>(MaxVmsAskedForLostRecords, "new"));
    EXPECT_EQ(m_requests, static_cast<int>(MaxVmsAskedForLostRecords));
    query->setVms(m_vms);
    EXPECT_TRUE(query->completed());
}

TEST_F(LostRecordsQueryTest, AVmThatDoesNotRespondIsReplaced)
{
    for (int n = 1; n <= 3; ++n) {
        addVm("127.0.6." + std::to_string(n), {{.key = "config", .value = "new", .position = {.era = 1, .offset = 7}}});
    }
    net::Listener silent(m_loop, [](const std::shared_ptr<net::Connection> &) {});
    ASSERT_FALSE(silent.open("127.0.6.50", m_port));
    m_vms.emplace_back("127.0.6.50");
    m_vms.emplace_back("127.0.6.51"); // Nothing listens there.
    const auto query = makeQuery();
    query->start(Restored);
    query->setVms(m_vms);
    ASSERT_TRUE(runUntilCompleted(*query));
    EXPECT_EQ(m_delivered.size(), 3U);
}

TEST_F(LostRecordsQueryTest, CompletesWithoutOtherVms)
{
    const auto alone = makeQuery();
    alone->start(Restored);
    EXPECT_FALSE(alone->completed());
    EXPECT_TRUE(runUntilCompleted(*alone));

    const auto known = makeQuery();
    known->start(Restored);
    known->setVms({"127.0.6.100"});
    EXPECT_TRUE(known->completed()) << "it is the only one of its domain";
}

TEST_F(LostRecordsQueryTest, AsksVmsThatAreKnownLate)
{
    addVm("127.0.6.1", {{.key = "config", .value = "new", .position = {.era = 1, .offset = 7}}});
    const auto query = makeQuery();
    query->start(Restored);
    ASSERT_TRUE(runUntilCompleted(*query));
    query->setVms(m_vms);
    for (const Millis end = steadyMillis() + Millis{5000}; m_delivered.empty() && steadyMillis() < end;) {
        m_loop.run_one_for(std::chrono::milliseconds(20));
    }
    EXPECT_EQ(m_delivered, std::vector<std::string>{"new"});
}

TEST_F(LostRecordsQueryTest, AsksNobodyIfTheStoreWasNeverRestored)
{
    addVm("127.0.6.1", {});
    const auto query = makeQuery();
    query->setVms(m_vms);
    query->start({.era = 0, .offset = 3});
    EXPECT_TRUE(query->completed());
    m_loop.run_for(ResponseTime);
    EXPECT_EQ(m_requests, 0);
}

} // namespace

} // namespace ibislock::feed
