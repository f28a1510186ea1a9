#include "front_fixture.h"

#include "ibislock/peer/messages.h"
#include "platform/log_capture.h"

#include <algorithm>

namespace ibislock::front
{

namespace
{

/// Calls of which a target that takes one request a second may get 11 within 4 s.
constexpr int ManyCalls = 40;

class FrontLimitsTest : public FrontTest
{
protected:
    FrontLimitsTest()
        : FrontTest(freePort())
    {
    }

    /// Reports a number of entry VMs, as the target VM on an address knows it.
    void reportEntryVms(int number, const std::string &ip = "127.0.0.1")
    {
        const std::string message =
            peer::encode(peer::LoadMessage{.incarnation = 1, .sequence = ++m_reports, .entryVmCount = number});
        asio::ip::udp::socket socket(m_loop, {asio::ip::make_address_v4(ip), 0});
        socket.send_to(asio::buffer(message), {asio::ip::make_address_v4("127.0.0.1"), m_peerPort});
        runFor(Millis{20});
    }

    /// Makes many calls one after the other, which takes less than 4 s.
    /// @return the statuses of the responses.
    std::vector<int> callOften(const std::string &path)
    {
        std::vector<int> out;
        for (int n = 0; n < ManyCalls; ++n) {
            out.push_back(call(request(path)).status);
        }
        return out;
    }

    std::uint64_t m_reports = 0;
};

TEST_F(FrontLimitsTest, ATargetThatNamesALimitGetsNoMoreThanThat)
{
    m_first.said.add("Server-Limit", "1");
    list(m_first);
    list(m_second);
    start();
    const std::vector<int> statuses = callOften("/often/x");
    EXPECT_LE(m_first.requests.size(), 11U);
    EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 200), ManyCalls);
}

TEST_F(FrontLimitsTest, WhenOnlyTargetsWithoutATurnAreLeftCallersAreRefusedAtOnce)
{
    m_first.said.add("Server-Limit", "1");
    list(m_first);
    start();
    EXPECT_EQ(call(request("/once/x")).status, 200);
    const CallerAnswer answer = call(request("/once/x"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_GT(std::stod(std::string(answer.headers.find("Retry-After").value_or("0"))), 0.1);
    const std::vector<int> statuses = callOften("/once/x");
    EXPECT_LE(m_first.requests.size(), 11U);
    EXPECT_LE(static_cast<std::size_t>(std::count(statuses.begin(), statuses.end(), 200)), m_first.requests.size());
}

// What is sent again counts as well.
TEST_F(FrontLimitsTest, RetriesAndResumedStreamsKeepTheLimit)
{
    m_first.said.add("Server-Limit", "1");
    m_first.behaviour = TargetBehaviour::StreamCutOff;
    m_second.behaviour = TargetBehaviour::Fail;
    list(m_first);
    list(m_second);
    start();
    callOften("/events/x");
    callOften("/often/x");
    EXPECT_LE(m_first.requests.size(), 11U);
}

TEST_F(FrontLimitsTest, AnInvalidLimitIsIgnored)
{
    for (const char *limit : {"-1", "nan", "one", ""}) {
        m_first.said = {};
        m_first.said.add("Server-Limit", limit);
        if (m_first.requests.empty()) {
            list(m_first);
            start();
        }
        EXPECT_EQ(call(request("/once/x")).status, 200) << limit;
        EXPECT_EQ(call(request("/once/x")).status, 200) << limit;
    }
}

TEST_F(FrontLimitsTest, AResponseWithoutALimitEndsIt)
{
    m_first.said.add("Server-Limit", "1000000");
    list(m_first);
    start();
    EXPECT_EQ(call(request("/once/x")).status, 200);
    m_first.said = {};
    runFor(Millis{20}); // Until the next turn.
    EXPECT_EQ(call(request("/once/x")).status, 200);
    lab::LogCapture log;
    m_first.said.add("Server-Limit", "1");
    EXPECT_EQ(call(request("/once/x")).status, 200);
    EXPECT_EQ(log.take("A target named a limit of requests.").size(), 1U);
}

TEST_F(FrontLimitsTest, ARefusalWithoutALimitDoesNotEndIt)
{
    lab::LogCapture log;
    m_first.said.add("Server-Limit", "1000000");
    list(m_first);
    start();
    EXPECT_EQ(call(request("/once/x")).status, 200);
    m_first.said = {};
    m_first.behaviour = TargetBehaviour::Refuse;
    runFor(Millis{20}); // Until the next turn.
    EXPECT_EQ(call(request("/once/x")).status, 503);
    EXPECT_EQ(log.take("A target's limit of requests ended.").size(), 0U);
}

// A target VM that has just started knows few entry VMs; each would use too large a share of what all may do together.
TEST_F(FrontLimitsTest, ATargetVmThatHasJustStartedDoesNotRaiseTheShare)
{
    lab::LogCapture log;
    m_first.said.add("Server-Limit", "1");
    list(m_first);
    start();
    reportEntryVms(38);
    reportEntryVms(1, "127.0.0.3");
    EXPECT_EQ(call(request("/often/x")).status, 200);
    const std::vector<std::string> lines = log.take("A target named a limit of requests.");
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_TRUE(lab::hasField(lines.front(), "entry_vms", "38")) << lines.front();
}

} // namespace

} // namespace ibislock::front
