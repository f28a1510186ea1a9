// Requests that wait at engines whose weights are retired, or that have crashed.

#include "front_fixture.h"

#include "ibislock/peer/messages.h"

#include <asio/ip/udp.hpp>

namespace ibislock::front
{

namespace
{

/// A waiting request isn't cancelled while more than this is left of the grace period.
constexpr Millis BeforeTheCancellation{900};

/// When a waiting request must have been cancelled, counted from then: so long before the weights are retired that the
/// close of its connection arrives in time over a full link.
constexpr Millis UntilTheCancellation{300};

/// A time after the retirement at which a stream that has begun still runs.
constexpr Millis AfterTheRetirement{500};

/// The address of a third engine; the others have 127.0.0.1.
const std::string ThirdIp = "127.0.0.3";

/// Between two load reports of an engine.
constexpr Millis ReportInterval{200};

/// As `EngineState`, with an attempt more.
const std::string ThreeAttemptsState =
    R"({"Version":1,"Routes":[{"Name":"events","Host":"h","PathPrefix":"/events/","Kind":"streaming","TimeoutMs":6000,)"
    R"("Service":"s","MaxAttempts":3,"ResumeStreams":true}],"Services":[{"Name":"s","HealthPath":"/health",)"
    R"("MaxConns":100,"Engine":{"Slots":16,"Models":[{"Name":"m","WarmupS":0.3}],"step_ms":9.27,"read_per_s":20700}}]})";

class FrontVersionsTest : public FrontTest
{
protected:
    FrontVersionsTest()
        : FrontTest(freePort())
    {
    }

    /// Starts the daemon with engines on version 1, announces version 2, and sends a request.
    void sendBeforeRetirement(const std::string &state, const std::vector<lab::TargetStandIn *> &engines)
    {
        for (lab::TargetStandIn *engine : engines) {
            engine->weightsVersion = 1;
            list(*engine);
        }
        start(state);
        m_store.append("version/m", R"({"Model":"m","Version":2})");
        runFor(Millis{50});
        m_announcedAt = steadyMillis();
        http::RequestHead sent = request("/events/x");
        sent.headers.set("X-Ibislock-Deadline-Ms", "6000");
        sent.headers.add("X-Ibislock-Model", "m");
        m_exchange = m_client.send("127.0.0.1", m_daemon.callerPort(), writeRequest(sent, "b"), {},
                                   {.head =
                                        [this](const http::ResponseHead &head) {
                                            m_answer.status = head.status;
                                            return net::HeadDecision::Accept;
                                        },
                                    .body = [this](const std::string &part) { m_answer.body += part; },
                                    .end =
                                        [this](const net::ExchangeResult &result) {
                                            m_answer.whole = result.outcome == net::ExchangeOutcome::Complete;
                                            m_ended = true;
                                        }});
        runFor(Millis{100});
    }

    /// Runs the loop until a time after the announcement.
    /// @param reported the version that the engines on 127.0.0.1 report meanwhile; 0 if they don't report.
    void runUntil(Millis sinceAnnouncement, std::int64_t reported = 0)
    {
        for (Millis left{0}; (left = m_announcedAt + sinceAnnouncement - steadyMillis()) > Millis{0};) {
            if (reported > 0) {
                reportLoad(reported);
            }
            runFor(std::min(left, ReportInterval));
        }
    }

    /// Reports the load of all engines on an address.
    void reportLoad(std::int64_t version, const std::string &ip = "127.0.0.1", int running = 1)
    {
        const std::string message = peer::encode(peer::LoadMessage{
            .incarnation = 1, .sequence = ++m_reports, .running = running, .version = version, .entryVmCount = 1});
        asio::ip::udp::socket socket(m_loop, {asio::ip::make_address_v4(ip), 0});
        socket.send_to(asio::buffer(message), {asio::ip::make_address_v4("127.0.0.1"), m_peerPort});
    }

    /// Returns the target at which a stream that was broken off by the other one waits.
    const lab::TargetStandIn &resumingTarget() const
    {
        const bool second =
            !m_second.requests.empty() && m_second.requests.back().headers.find("Last-Event-Id").has_value();
        return second ? m_second : m_first;
    }

    std::shared_ptr<net::Exchange> m_exchange;
    CallerAnswer m_answer;
    bool m_ended = false;
    Millis m_announcedAt{0};
    std::uint64_t m_reports = 0;
};

const Millis WaitsUntil = VersionTime - BeforeTheCancellation;
const Millis CancelledBy = WaitsUntil + UntilTheCancellation;

TEST_F(FrontVersionsTest, ResumedStreamIsCancelledBeforeItStartsOnRetiredWeights)
{
    m_first.behaviour = m_second.behaviour = TargetBehaviour::StreamCutOffThenSilent;
    sendBeforeRetirement(EngineState, {&m_first, &m_second});
    runUntil(WaitsUntil);
    ASSERT_EQ(runs(), 2U);
    ASSERT_EQ(resumingTarget().open, 1);
    runUntil(CancelledBy);
    EXPECT_EQ(resumingTarget().open, 0);
    EXPECT_TRUE(m_ended); // Its route allows no third attempt.
    EXPECT_FALSE(m_answer.whole);
}

// A stream that waited at a second engine stayed there, although another one had the new weights.
TEST_F(FrontVersionsTest, ResumedStreamContinuesOnTheNewWeights)
{
    lab::TargetStandIn third(m_loop, "i-3", ThirdIp);
    third.behaviour = TargetBehaviour::Stream;
    third.weightsVersion = 2;
    m_first.behaviour = m_second.behaviour = TargetBehaviour::StreamCutOffThenSilent;
    sendBeforeRetirement(ThreeAttemptsState, {&m_first, &m_second});
    list(third);
    runUntil(WaitsUntil, 1);
    ASSERT_EQ(runs(), 2U);
    ASSERT_EQ(resumingTarget().open, 1);
    ASSERT_TRUE(third.requests.empty());
    runUntil(CancelledBy, 1);
    EXPECT_EQ(resumingTarget().open, 0);
    ASSERT_EQ(third.requests.size(), 1U);
    EXPECT_EQ(third.requests.front().headers.find("Last-Event-Id"), "1");
    EXPECT_TRUE(m_answer.whole);
    EXPECT_NE(m_answer.body.find("event 4"), std::string::npos);
}

// The close of the connection took 0.4 s to the engine, which started the request meanwhile.
TEST_F(FrontVersionsTest, CancellationReachesAnEngineBehindAFullLinkBeforeTheRetirement)
{
    constexpr Millis CloseTransit{500};
    m_first.behaviour = TargetBehaviour::Silent;
    sendBeforeRetirement(EngineState, {&m_first});
    runUntil(WaitsUntil);
    ASSERT_EQ(m_first.open, 1);
    runUntil(VersionTime - CloseTransit);
    EXPECT_EQ(m_first.open, 0);
}

TEST_F(FrontVersionsTest, RequestAtAnUnlistedEngineIsCancelledBeforeItStartsOnRetiredWeights)
{
    m_first.behaviour = TargetBehaviour::Silent;
    sendBeforeRetirement(EngineState, {&m_first});
    m_store.append(m_first.id, "no listing");
    runUntil(WaitsUntil);
    ASSERT_EQ(m_first.open, 1);
    runUntil(CancelledBy);
    EXPECT_EQ(m_first.open, 0);
    EXPECT_EQ(m_answer.status, 502);
}

TEST_F(FrontVersionsTest, RequestAtAnEngineThatHasLoadedTheNewWeightsIsKept)
{
    m_first.behaviour = TargetBehaviour::Silent;
    sendBeforeRetirement(EngineState, {&m_first});
    runUntil(WaitsUntil, 2);
    ASSERT_EQ(m_first.open, 1);
    runUntil(CancelledBy, 2);
    EXPECT_EQ(m_first.open, 1);
}

// A stream that had begun was not to be cancelled with those that wait.
TEST_F(FrontVersionsTest, StreamThatHasBegunIsNotCancelledWhenItsWeightsAreRetired)
{
    m_first.behaviour = TargetBehaviour::StreamThenSilent;
    sendBeforeRetirement(EngineState, {&m_first});
    runUntil(VersionTime + AfterTheRetirement, 1);
    EXPECT_EQ(m_first.open, 1);
    EXPECT_EQ(m_answer.status, 200);
    EXPECT_FALSE(m_ended);
}

// All engines with the new weights are full when the request is cancelled, and one has room 150 ms later.
TEST_F(FrontVersionsTest, CancelledRequestWaitsForASlotOnTheNewWeights)
{
    constexpr Millis UntilThereIsRoom{150};
    lab::TargetStandIn third(m_loop, "i-3", ThirdIp);
    third.behaviour = TargetBehaviour::Stream;
    third.weightsVersion = 2;
    m_first.behaviour = TargetBehaviour::Silent;
    sendBeforeRetirement(EngineState, {&m_first});
    list(third);
    Millis cancelledAt{0};
    while (!m_ended && steadyMillis() < m_announcedAt + VersionTime) {
        cancelledAt = cancelledAt == Millis{0} && m_first.open == 0 ? steadyMillis() : cancelledAt;
        const bool room = cancelledAt > Millis{0} && steadyMillis() >= cancelledAt + UntilThereIsRoom;
        reportLoad(1);
        reportLoad(2, ThirdIp, room ? 0 : lab::TargetStandIn::Slots);
        runFor(Millis{20});
    }
    EXPECT_GT(cancelledAt, Millis{0});
    EXPECT_EQ(third.requests.size(), 1U);
    EXPECT_EQ(m_answer.status, 200);
    EXPECT_TRUE(m_answer.whole);
}

// The load reports of the next incarnation counted for what waited at the one that had crashed.
TEST_F(FrontVersionsTest, RequestIsMovedFromACrashedEngineWhoseSuccessorReports)
{
    constexpr Millis LongEnoughToMove{1400};
    m_first.behaviour = TargetBehaviour::Silent;
    m_second.behaviour = TargetBehaviour::Stream;
    m_second.weightsVersion = 1;
    sendBeforeRetirement(EngineState, {&m_first});
    m_first.startedAt = 1;
    list(m_first);
    list(m_second);
    runUntil(LongEnoughToMove, 1);
    EXPECT_EQ(m_second.requests.size(), 1U);
    EXPECT_TRUE(m_answer.whole);
}

} // namespace

} // namespace ibislock::front
