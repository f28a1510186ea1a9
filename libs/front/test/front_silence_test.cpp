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
        runFor(Millis{50});
        ASSERT_EQ(m_first.requests.size(), 1U);
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

} // namespace

} // namespace ibislock::front
