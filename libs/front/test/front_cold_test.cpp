// What targets that are cold, or may be, get from one entry VM.

#include "front_fixture.h"

#include "ibislock/peer/messages.h"
#include "platform/log_capture.h"

#include <algorithm>

namespace ibislock::front
{

namespace
{

/// Calls without end, for a second or less.
constexpr int ManyCalls = 60;

class FrontColdTest : public FrontTest
{
protected:
    FrontColdTest()
        : FrontTest(freePort())
    {
        m_first.startedAt = m_second.startedAt = 1000;
    }

    /// Starts the daemon with a service whose cold targets take two requests a second.
    void startWithLimit(const std::string &state = DesiredState)
    {
        std::string text = state;
        text.replace(text.find(R"("HealthPath")"), 0, R"("ColdStartS":10,"ColdPerS":2,)");
        start(text);
    }

    std::vector<int> callOften(const std::string &path)
    {
        std::vector<int> out;
        for (int n = 0; n < ManyCalls; ++n) {
            out.push_back(call(request(path)).status);
        }
        return out;
    }
};

// A target that says that it is cold got all requests of its service.
TEST_F(FrontColdTest, AColdTargetGetsRequestsInTurnsOnly)
{
    m_first.coldLeft = Millis{9000};
    list(m_first);
    startWithLimit();
    const CallerAnswer answer = call(request("/often/x"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.find("Retry-After"));
    callOften("/often/x");
    EXPECT_LE(m_first.requests.size(), 2U);
}

TEST_F(FrontColdTest, OtherTargetsServeWhileOneIsCold)
{
    m_first.coldLeft = Millis{9000};
    list(m_first);
    list(m_second);
    startWithLimit();
    const std::vector<int> statuses = callOften("/often/x");
    EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 200), ManyCalls);
    EXPECT_LE(m_first.requests.size(), 2U);
}

// Targets that restart under the same address were warm for entry VMs until their new listing arrived.
TEST_F(FrontColdTest, ATargetThatClosedAConnectionMayHaveRestarted)
{
    list(m_first);
    startWithLimit();
    EXPECT_EQ(call(request("/often/x")).status, 200);
    m_first.behaviour = TargetBehaviour::CloseUnanswered;
    lab::LogCapture log;
    EXPECT_EQ(call(request("/once/x")).status, 502);
    m_first.behaviour = TargetBehaviour::Answer;
    callOften("/often/x");
    EXPECT_LE(m_first.requests.size(), 4U);
    runFor(Millis{50}); // Phases are logged once a tick.
    const std::vector<std::string> lines = log.take("A target's temperature changed.");
    ASSERT_FALSE(lines.empty());
    EXPECT_TRUE(lab::hasField(lines[0], "phase", "unproven")) << lines[0];
}

// Deployments whose services have no such limit list cold times too.
TEST_F(FrontColdTest, WithoutALimitAColdTargetGetsAllRequests)
{
    m_first.coldLeft = Millis{9000};
    list(m_first);
    start();
    const std::vector<int> statuses = callOften("/often/x");
    EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 200), ManyCalls);
}

// The listing of an engine that crashed is still there when its successor reports.
TEST_F(FrontColdTest, AnEngineThatReportsAnotherIncarnationIsCold)
{
    m_first.weightsVersion = 1;
    m_first.behaviour = TargetBehaviour::Stream;
    list(m_first);
    startWithLimit(EngineState);
    std::uint64_t sequence = 0;
    asio::ip::udp::socket socket(m_loop, {asio::ip::make_address_v4("127.0.0.1"), 0});
    const auto report = [&](std::int64_t startedAt) {
        const std::string message = peer::encode(peer::LoadMessage{.incarnation = 1,
                                                                   .sequence = ++sequence,
                                                                   .version = 1,
                                                                   .entryVmCount = 1,
                                                                   .loadSubscriberCount = 1,
                                                                   .engineStartedAt = startedAt,
                                                                   .engineRunningFor = Millis{500}});
        socket.send_to(asio::buffer(message), {asio::ip::make_address_v4("127.0.0.1"), m_peerPort});
        runFor(Millis{20});
    };
    const auto stream = [&] {
        http::RequestHead head = request("/events/x");
        head.headers.add("X-Ibislock-Model", "m");
        return call(head).status;
    };
    report(1000);
    EXPECT_EQ(stream(), 200);
    EXPECT_EQ(stream(), 200);
    report(2000);
    EXPECT_EQ(stream(), 503);
}

} // namespace

} // namespace ibislock::front
