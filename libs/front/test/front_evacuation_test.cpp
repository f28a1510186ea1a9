// Evacuation of failure domains, with real connections: it begins and ends with records of the operators' topic.

#include "front_fixture.h"

#include "platform/log_capture.h"

namespace ibislock::front
{

namespace
{

/// Number of requests of a test; they start at either target.
constexpr int Requests = 12;

/// The key of the evacuation of the domain in which the daemon and the first target are.
const std::string HomeKey = "evacuate/a";

/// A target in the daemon's domain "a", and one in domain "b".
class FrontEvacuationTest : public FrontTest
{
protected:
    FrontEvacuationTest()
    {
        m_second.domain = "b";
        m_store.omitsDeleted = true;
    }

    void listBoth()
    {
        list(m_first);
        list(m_second);
    }

    bool waitForBegin()
    {
        return waitForLine("The evacuation of a failure domain has begun.");
    }

    bool waitForEnd()
    {
        return waitForLine("The evacuation of a failure domain has ended.");
    }

    /// Calls and returns how many requests the first target got.
    std::size_t callsAtHome()
    {
        const std::size_t before = m_first.requests.size();
        for (int n = 0; n < Requests; ++n) {
            EXPECT_EQ(call(request("/often/x")).status, 200);
        }
        return m_first.requests.size() - before;
    }
};

TEST_F(FrontEvacuationTest, NoRequestReachesAnEvacuatedDomainUntilTheRecordIsDeleted)
{
    listBoth();
    start();
    EXPECT_GT(callsAtHome(), 0U);
    m_store.append(HomeKey, "{}");
    ASSERT_TRUE(waitForBegin());
    EXPECT_EQ(callsAtHome(), 0U);
    m_store.append(HomeKey, "");
    ASSERT_TRUE(waitForEnd());
    EXPECT_GT(callsAtHome(), 0U);
}

// Targets that became cold during an evacuation got all requests of their service at its end.
TEST_F(FrontEvacuationTest, TargetsOfADomainThatWasEvacuatedMayBeCold)
{
    m_first.startedAt = 1000;
    list(m_first);
    std::string state = DesiredState;
    state.replace(state.find(R"("HealthPath")"), 0, R"("ColdStartS":10,"ColdPerS":2,)");
    start(state);
    EXPECT_EQ(call(request("/often/x")).status, 200);
    m_store.append(HomeKey, "{}");
    ASSERT_TRUE(waitForBegin());
    m_store.append(HomeKey, "");
    ASSERT_TRUE(waitForEnd());
    const std::size_t before = m_first.requests.size();
    for (int n = 0; n < Requests; ++n) {
        call(request("/often/x"));
    }
    EXPECT_LE(m_first.requests.size() - before, 2U);
}

TEST_F(FrontEvacuationTest, WithAllDomainsEvacuatedARequestIsRefusedWithRetryAfter)
{
    listBoth();
    start();
    m_store.append(HomeKey, "{}");
    ASSERT_TRUE(waitForBegin());
    m_store.append("evacuate/b", "{}");
    ASSERT_TRUE(waitForBegin());
    lab::LogCapture log;
    const CallerAnswer answer = call(request("/often/x"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.find("Retry-After"));
    const auto lines = log.take("A request was not served.");
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_TRUE(lab::hasField(lines[0], "no_target", "unavailable")) << lines[0];
    EXPECT_TRUE(lab::hasField(lines[0], "evacuated", "2")) << lines[0];
    EXPECT_EQ(runs(), 0U);
}

// A request that is restricted to the evacuated region was sent elsewhere.
TEST_F(FrontEvacuationTest, ARestrictedRequestDoesNotLeaveItsEvacuatedRegion)
{
    listBoth();
    std::string state = DesiredState;
    state.insert(state.find(R"("ApiKeys")"), R"("AllowedRegions":["north"],)");
    start(state);
    m_store.append(HomeKey, "{}");
    ASSERT_TRUE(waitForBegin());
    const CallerAnswer answer = call(request("/often/x"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.find("Retry-After"));
    EXPECT_EQ(runs(), 0U);
}

// The next attempt of a request went by the domains that were open when it arrived.
TEST_F(FrontEvacuationTest, ARequestUnderWayIsNotRetriedInADomainThatIsEvacuatedMeanwhile)
{
    m_first.behaviour = TargetBehaviour::RefuseLate;
    listBoth();
    start();
    net::Timer timer(m_loop);
    timer.start(Millis{50}, [this] { m_store.append("evacuate/b", "{}"); });
    EXPECT_EQ(call(request("/often/x")).status, 503);
    EXPECT_EQ(m_second.requests.size(), 0U);
}

// A VM that started counted as ready with the first page of the snapshot, which held the desired state.
TEST_F(FrontEvacuationTest, AVmThatStartsDuringAnEvacuationKnowsOfItWithItsFirstRequest)
{
    listBoth();
    m_store.append(HomeKey, "{}");
    m_store.snapshotPageSize = 1;
    m_store.snapshotDelay = Millis{50};
    start();
    const Millis end = steadyMillis() + Millis{5000};
    int served = 0;
    while (served < Requests && steadyMillis() < end) {
        served += call(request("/often/x")).status == 200 ? 1 : 0;
    }
    EXPECT_EQ(served, Requests);
    EXPECT_EQ(m_first.requests.size(), 0U);
}

// A restored store that lacks the record ended the evacuation.
TEST_F(FrontEvacuationTest, ARestoredStoreThatLacksTheRecordDoesNotEndTheEvacuation)
{
    m_store.era = 1;
    listBoth();
    start();
    const std::size_t copy = m_store.size();
    m_store.append(HomeKey, "{}");
    ASSERT_TRUE(waitForBegin());
    m_store.restore(copy);
    ASSERT_TRUE(waitForLine("The store was restored from an older copy; reading all records again."));
    runFor(Millis{500});
    EXPECT_EQ(callsAtHome(), 0U);
    m_store.append(HomeKey, "");
    ASSERT_TRUE(waitForEnd());
    EXPECT_GT(callsAtHome(), 0U);
}

// A snapshot holds no deleted keys, so a VM that missed the deletion kept the domain closed.
TEST_F(FrontEvacuationTest, ALaterSnapshotWithoutTheRecordEndsTheEvacuation)
{
    listBoth();
    start();
    m_store.append(HomeKey, "{}");
    ASSERT_TRUE(waitForBegin());
    m_store.silent = true; // The response to the read that is held is lost.
    m_store.append(HomeKey, "");
    m_store.append("other", "x");
    m_store.trim(m_store.size());
    m_store.silent = false;
    ASSERT_TRUE(waitForEnd());
    EXPECT_GT(callsAtHome(), 0U);
}

} // namespace

} // namespace ibislock::front
