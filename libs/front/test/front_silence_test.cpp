// Sound targets that send nothing for a while and then go on.

#include "front_fixture.h"

#include "ibislock/peer/messages.h"

namespace ibislock::front
{

namespace
{

/// How long a sound target may send nothing.
constexpr Millis Silence{1300};

/// The address of the engine to which requests of a silent one may be sent; the others have 127.0.0.1.
const std::string OtherIp = "127.0.0.3";

/// Between two load reports of an engine.
constexpr Millis ReportInterval{100};

/// The whole stream of a target stand-in.
std::string wholeStream()
{
    std::string out;
    for (int n = 0; n < 5; ++n) {
        out += "id: " + std::to_string(n) + "\ndata: event " + std::to_string(n) + "\n\n";
    }
    return out;
}

class FrontSilenceTest : public FrontTest
{
protected:
    FrontSilenceTest()
        : FrontTest(freePort())
    {
        m_first.weightsVersion = m_other.weightsVersion = 1;
    }

    /// Starts the daemon with two engines, and sends a stream to the first one, which reports no load any more.
    void sendToTheFirst()
    {
        list(m_first);
        list(m_other);
        start(EngineState);
        reportLoad("127.0.0.1", 0);
        reportLoad(OtherIp, lab::TargetStandIn::Slots - 1);
        runFor(Millis{20});
        send();
        runFor(Millis{50});
        ASSERT_EQ(m_first.requests.size(), 1U);
    }

    void send()
    {
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
    }

    /// Runs the loop until the call has ended or a time has passed, while the other engine reports its load.
    void runUntilEnd(Millis longest)
    {
        const Millis end = steadyMillis() + longest;
        while (!m_ended && steadyMillis() < end) {
            if (m_otherReports) {
                reportLoad(OtherIp, 0);
            }
            runFor(ReportInterval);
        }
    }

    void reportLoad(const std::string &ip, int running)
    {
        const std::string message = peer::encode(peer::LoadMessage{
            .incarnation = 1, .sequence = ++m_reports, .running = running, .version = 1, .entryVmCount = 1});
        asio::ip::udp::socket socket(m_loop, {asio::ip::make_address_v4(ip), 0});
        socket.send_to(asio::buffer(message), {asio::ip::make_address_v4("127.0.0.1"), m_peerPort});
    }

    lab::TargetStandIn m_other{m_loop, "i-3", OtherIp};
    std::shared_ptr<net::Exchange> m_exchange;
    CallerAnswer m_answer;
    bool m_ended = false;
    bool m_otherReports = true;
    std::uint64_t m_reports = 0;
};

// The stream was cut off when the other engine refused it, although its own engine would have gone on.
TEST_F(FrontSilenceTest, StreamOfASilentTargetIsNotCutOffWhenAnotherTargetRefusesIt)
{
    m_first.behaviour = TargetBehaviour::StreamPausing;
    m_first.pause = Silence;
    m_other.behaviour = TargetBehaviour::Refuse;
    sendToTheFirst();
    runUntilEnd(Millis{4000});
    EXPECT_TRUE(m_answer.whole);
    EXPECT_EQ(m_answer.body, wholeStream());
}

TEST_F(FrontSilenceTest, StreamGoesOnAtAnotherTargetWhileItsOwnIsSilent)
{
    m_first.behaviour = TargetBehaviour::StreamThenSilent;
    m_other.behaviour = TargetBehaviour::Stream;
    sendToTheFirst();
    runUntilEnd(Millis{2000});
    EXPECT_TRUE(m_answer.whole);
    EXPECT_EQ(m_answer.body, wholeStream());
    EXPECT_EQ(m_other.requests.size(), 1U);
    runFor(Millis{50});
    EXPECT_EQ(m_first.open, 0);
}

TEST_F(FrontSilenceTest, StreamGoesOnAtItsOwnTargetWhileTheOtherOneIsSilentToo)
{
    m_first.behaviour = m_other.behaviour = TargetBehaviour::StreamPausing;
    m_first.pause = Silence;
    m_other.pause = Millis{4000};
    m_other.pausesFirst = true;
    sendToTheFirst();
    runUntilEnd(Millis{2500});
    EXPECT_TRUE(m_answer.whole);
    EXPECT_EQ(m_answer.body, wholeStream());
    EXPECT_EQ(m_other.requests.size(), 1U);
    runFor(Millis{50});
    EXPECT_EQ(m_other.open, 0);
}

class FrontRaceTest : public FrontSilenceTest, public testing::WithParamInterface<Millis>
{
};

// Both targets send their events at about the same time.
TEST_P(FrontRaceTest, EventsOfTwoTargetsAreNeitherRepeatedNorMixed)
{
    m_first.behaviour = m_other.behaviour = TargetBehaviour::StreamPausing;
    m_first.pause = Silence;
    m_other.pause = GetParam();
    m_other.pausesFirst = true;
    sendToTheFirst();
    runUntilEnd(Millis{3000});
    EXPECT_EQ(m_other.requests.size(), 1U);
    EXPECT_TRUE(m_answer.whole);
    EXPECT_EQ(m_answer.body, wholeStream());
}

INSTANTIATE_TEST_SUITE_P(Pauses, FrontRaceTest,
                         testing::Values(Millis{440}, Millis{480}, Millis{500}, Millis{520}, Millis{540}, Millis{560}),
                         [](const auto &item) { return "Of" + std::to_string(item.param.count()) + "Ms"; });

// Neither target has sent an event when the caller's first one arrives.
TEST_F(FrontSilenceTest, StreamThatHasNotBegunIsServedByTheTargetThatBeginsFirst)
{
    m_first.behaviour = m_other.behaviour = TargetBehaviour::StreamPausing;
    m_first.pause = Silence;
    m_other.pause = Millis{4000};
    m_first.pausesFirst = m_other.pausesFirst = true;
    sendToTheFirst();
    runUntilEnd(Millis{2500});
    EXPECT_EQ(m_answer.status, 200);
    EXPECT_TRUE(m_answer.whole);
    EXPECT_EQ(m_answer.body, wholeStream());
}

TEST_F(FrontSilenceTest, CallerThatLeavesCancelsAllAttempts)
{
    m_first.behaviour = TargetBehaviour::StreamThenSilent;
    m_other.behaviour = TargetBehaviour::Silent;
    sendToTheFirst();
    runUntilEnd(Millis{1200});
    ASSERT_EQ(m_first.open, 1);
    ASSERT_EQ(m_other.requests.size(), 1U);
    m_exchange->cancel();
    runFor(Millis{50});
    EXPECT_EQ(m_first.open, 0);
    EXPECT_EQ(m_other.open, 0);
}

TEST_F(FrontSilenceTest, DeadlineCancelsAllAttempts)
{
    m_first.behaviour = TargetBehaviour::StreamThenSilent;
    m_other.behaviour = TargetBehaviour::Silent;
    sendToTheFirst();
    runUntilEnd(Millis{6500});
    EXPECT_TRUE(m_ended);
    EXPECT_FALSE(m_answer.whole);
    runFor(Millis{50});
    EXPECT_EQ(m_first.open, 0);
    EXPECT_EQ(m_other.open, 0);
}

// A stream whose engine broke off was aborted after 300 ms without a free slot.
TEST_F(FrontSilenceTest, BrokenStreamWaitsForASlotUntilItsCallerWouldLeave)
{
    constexpr Millis UntilThereIsRoom{900};
    m_first.behaviour = TargetBehaviour::StreamCutOff;
    m_other.behaviour = TargetBehaviour::Stream;
    list(m_first);
    list(m_other);
    start(EngineState);
    reportLoad("127.0.0.1", 0);
    reportLoad(OtherIp, lab::TargetStandIn::Slots);
    runFor(Millis{20});
    send();
    const Millis sentAt = steadyMillis();
    while (!m_ended && steadyMillis() < sentAt + Millis{2500}) {
        const bool room = steadyMillis() >= sentAt + UntilThereIsRoom;
        reportLoad(OtherIp, room ? 0 : 2 * lab::TargetStandIn::Slots);
        runFor(Millis{20});
    }
    EXPECT_TRUE(m_answer.whole);
    EXPECT_EQ(m_answer.body, wholeStream());
}

// A silence of all targets at once sent each stream to another one, too.
TEST_F(FrontSilenceTest, StreamIsNotSentElsewhereWhenNoTargetReports)
{
    m_first.behaviour = TargetBehaviour::StreamPausing;
    m_first.pause = Silence;
    m_other.behaviour = TargetBehaviour::Stream;
    m_otherReports = false;
    sendToTheFirst();
    runUntilEnd(Millis{2500});
    EXPECT_TRUE(m_answer.whole);
    EXPECT_EQ(m_other.requests.size(), 0U);
}

TEST_F(FrontSilenceTest, StreamIsSentElsewhereInTheEndWhenNoTargetReports)
{
    m_first.behaviour = TargetBehaviour::StreamThenSilent;
    m_other.behaviour = TargetBehaviour::Stream;
    m_otherReports = false;
    sendToTheFirst();
    runUntilEnd(Millis{2500});
    EXPECT_TRUE(m_answer.whole);
    EXPECT_EQ(m_answer.body, wholeStream());
}

// Both targets say that they did not run it, the silent one last; the caller was told that it may have run.
TEST_F(FrontTest, RequestThatASilentTargetDidNotRunEitherIsRefusedAsNotRun)
{
    m_first.behaviour = m_second.behaviour = TargetBehaviour::RefuseLate;
    list(m_first);
    list(m_second);
    start();
    EXPECT_EQ(call(request("/often/x")).status, 503);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(FrontTest, RequestThatASilentTargetMayHaveRunIsNotRefusedAsNotRun)
{
    m_first.behaviour = m_second.behaviour = TargetBehaviour::Silent;
    list(m_first);
    list(m_second);
    start();
    EXPECT_EQ(call(request("/often/x")).status, 504);
    EXPECT_EQ(runs(), 2U);
}

// The first answer was given up for an attempt that was not run.
TEST_F(FrontTest, IdempotentRequestIsAnsweredByItsSilentTargetWhenAnotherTargetRefusesIt)
{
    m_first.behaviour = TargetBehaviour::Late;
    m_second.behaviour = TargetBehaviour::Refuse;
    list(m_first);
    list(m_second);
    start();
    for (int n = 0; n < 4; ++n) {
        EXPECT_EQ(call(request("/often/x")).status, 200);
    }
}

// Each refusal elsewhere was followed by another send within a tick, and each one counted as a failure of the silent
// target; one stream kept its sound target from getting requests for seconds after it had gone on.
TEST_F(FrontSilenceTest, SilentTargetThatHasGoneOnGetsRequestsAgain)
{
    std::vector<std::unique_ptr<lab::TargetStandIn>> more;
    for (const std::string id : {"i-4", "i-5", "i-6", "i-7"}) {
        more.push_back(std::make_unique<lab::TargetStandIn>(m_loop, id, OtherIp));
        more.back()->weightsVersion = 1;
        more.back()->behaviour = TargetBehaviour::Refuse;
        list(*more.back());
    }
    m_first.behaviour = TargetBehaviour::StreamPausing;
    m_first.pause = Silence;
    m_other.behaviour = TargetBehaviour::Refuse;
    sendToTheFirst();
    runUntilEnd(Millis{4000});
    EXPECT_TRUE(m_answer.whole);
    m_first.pause = Millis{0};
    http::RequestHead next = request("/events/x");
    next.headers.set("X-Ibislock-Deadline-Ms", "6000");
    next.headers.add("X-Ibislock-Model", "m");
    reportLoad("127.0.0.1", 0);
    reportLoad(OtherIp, 2 * lab::TargetStandIn::Slots);
    runFor(Millis{20});
    const Millis before = steadyMillis();
    EXPECT_EQ(call(next).status, 200);
    EXPECT_LT(steadyMillis() - before, Millis{200});
}

// A refusal elsewhere used up the last attempt, so the request was held at its silent target until its deadline.
TEST_F(FrontTest, IdempotentRequestOfASilentTargetGoesOnBehindARefusal)
{
    lab::TargetStandIn third(m_loop, "i-3");
    m_first.behaviour = TargetBehaviour::Silent;
    m_second.behaviour = TargetBehaviour::Refuse;
    third.behaviour = TargetBehaviour::Answer;
    list(m_first);
    list(m_second);
    list(third);
    start();
    for (int n = 0; n < 12; ++n) {
        const Millis before = steadyMillis();
        EXPECT_EQ(call(request("/often/x")).status, 200);
        EXPECT_LT(steadyMillis() - before, Millis{500});
    }
}

} // namespace

} // namespace ibislock::front
