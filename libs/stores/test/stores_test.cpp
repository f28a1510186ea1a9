#include "ibislock/standins/log_stand_in.h"
#include "ibislock/standins/vm_list_stand_in.h"
#include "ibislock/standins/weight_store_stand_in.h"
#include "ibislock/stores/log_client.h"
#include "ibislock/stores/vm_list_client.h"
#include "ibislock/stores/weight_store_client.h"

#include <gtest/gtest.h>

namespace ibislock::stores
{

namespace
{

class LogClientTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_standIn.start();
    }

    EndpointOptions endpoint() const
    {
        return {.url = m_standIn.url()};
    }

    standins::LogStandIn m_standIn{1, 8};
};

TEST_F(LogClientTest, AppendsAndReadsInOrder)
{
    LogClient log(endpoint());
    EXPECT_EQ(log.append("a"), 0U);
    EXPECT_EQ(log.append("b"), 1U);
    const auto page = log.read({.from = 1});
    ASSERT_TRUE(page) << page.error().message;
    ASSERT_EQ(page->records.size(), 1U);
    EXPECT_EQ(page->records[0].data, "b");
    EXPECT_EQ(page->next, 2U);
}

TEST_F(LogClientTest, StartsAtTheOldestRecordKept)
{
    LogClient log(endpoint());
    m_standIn.setRetention(1);
    ASSERT_TRUE(log.append("a"));
    ASSERT_TRUE(log.append("b"));
    const auto page = log.read({.from = 0});
    ASSERT_TRUE(page);
    EXPECT_EQ(page->first, 1U);
    EXPECT_EQ(page->records.at(0).offset, 1U);
}

/// A fault of the log and what an append must report.
struct FaultCase
{
    const char *name;
    bool outage;
    double lostAnswers;
    ErrorCode expected;
    std::uint64_t appended;
};

class LogFaultTest : public LogClientTest, public testing::WithParamInterface<FaultCase>
{
};

TEST_P(LogFaultTest, IsReportedTruthfully)
{
    LogClient log(endpoint());
    m_standIn.faults().outage = GetParam().outage;
    m_standIn.faults().lostAnswers = GetParam().lostAnswers;
    const auto appended = log.append("a");
    ASSERT_FALSE(appended);
    EXPECT_EQ(appended.error().code, GetParam().expected) << appended.error().message;
    EXPECT_EQ(m_standIn.next(), GetParam().appended);
}

INSTANTIATE_TEST_SUITE_P(Cases, LogFaultTest,
                         testing::Values(FaultCase{"Outage", true, 0, ErrorCode::Unavailable, 0},
                                         FaultCase{"LostAnswer", false, 1, ErrorCode::OutcomeUnknown, 1}),
                         [](const auto &it) { return it.param.name; });

/// An answer that no log gives, and what a read must report.
struct AnswerCase
{
    const char *name;
    int status;
    const char *body;
    ErrorCode expected;
};

class ReadAnswerTest : public testing::TestWithParam<AnswerCase>
{
protected:
    void SetUp() override
    {
        const auto answer = [](const httplib::Request &, httplib::Response &response) {
            response.status = GetParam().status;
            response.set_content(GetParam().body, "application/json");
        };
        m_server.get("/log/records", answer);
        m_server.get("/vms", answer);
        m_server.start();
    }

    standins::StandInServer m_server{4, 1};
};

TEST_P(ReadAnswerTest, IsReportedByTheLogClient)
{
    const auto page = LogClient({.url = m_server.url()}).read({.from = 0});
    ASSERT_FALSE(page);
    EXPECT_EQ(page.error().code, GetParam().expected) << page.error().message;
}

TEST_P(ReadAnswerTest, IsReportedByTheVmListClient)
{
    const auto vms = VmListClient({.url = m_server.url()}).read();
    ASSERT_FALSE(vms);
    EXPECT_EQ(vms.error().code, GetParam().expected) << vms.error().message;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, ReadAnswerTest,
    testing::Values(
        AnswerCase{"Empty", 200, "", ErrorCode::Corrupt}, AnswerCase{"NotJson", 200, "{", ErrorCode::Corrupt},
        AnswerCase{"WrongType", 200, R"({"first": 0, "next": "1", "records": 4, "vms": 4})", ErrorCode::Corrupt},
        AnswerCase{"WrongItems", 200, R"({"first": 0, "next": 1, "records": [7], "vms": [7]})", ErrorCode::Corrupt},
        AnswerCase{"Overloaded", 429, "", ErrorCode::Unavailable},
        AnswerCase{"Broken", 500, "", ErrorCode::Unavailable}, AnswerCase{"Absent", 404, "", ErrorCode::NotFound}),
    [](const auto &it) { return it.param.name; });

TEST(LogClientUnreachableTest, SaysThatNothingWasDone)
{
    LogClient log({.url = "http://127.0.0.1:1"});
    EXPECT_EQ(log.append("a").error().code, ErrorCode::Unavailable);
}

TEST(VmListClientTest, ReadsLiveAndLeavingVms)
{
    standins::VmListStandIn standIn(1, 8);
    standIn.start();
    standIn.set("t1", {.domain = "north", .address = "127.0.0.1:9", .kind = "target", .leaving = true});
    VmListClient list({.url = standIn.url()});
    const auto vms = list.read();
    ASSERT_TRUE(vms) << vms.error().message;
    ASSERT_EQ(vms->size(), 1U);
    EXPECT_EQ(vms->at(0),
              (membership::ListedVm{.vm = "t1",
                                    .domain = "north",
                                    .address = "127.0.0.1:9",
                                    .kind = membership::VmKind::Target,
                                    .leaving = true}));
}

TEST(WeightStoreClientTest, ReadsManifestAndVerifiableChunks)
{
    standins::WeightStoreStandIn standIn(1, 8);
    standIn.start();
    const Digest root = standIn.addVersion("frost", "1", 5000, 2048, 9);
    WeightStoreClient store({.url = standIn.url()});
    const auto manifest = store.manifest("frost", "1");
    ASSERT_TRUE(manifest) << manifest.error().message;
    EXPECT_EQ(weights::rootDigest(*manifest), root);
    EXPECT_TRUE(weights::verifyChunk(*manifest, 2, store.chunk("frost", "1", 2).value()));
    EXPECT_EQ(store.manifest("frost", "2").error().code, ErrorCode::NotFound);
    standIn.setCorruption(1);
    EXPECT_FALSE(weights::verifyChunk(*manifest, 0, store.chunk("frost", "1", 0).value()));
}

} // namespace

} // namespace ibislock::stores
