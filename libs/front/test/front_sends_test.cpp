// Retries of a request: when there is one, and its log lines.

#include "front_fixture.h"

#include "ibislock/base/loop_stalls.h"
#include "platform/log_capture.h"

namespace ibislock::front
{

namespace
{

/// Number of handlers of a call, including ticks between them. The loop is stalled after each of them in turn.
constexpr int HandlersOfACall = 6;

// After a stall, a connection that was established may be handled together with its expired timeout. Reported as not
// connected, the request would be retried and might run twice.
TEST_F(FrontTest, NonIdempotentRequestIsNotExecutedTwiceAfterLoopStall)
{
    constexpr Millis LongerThanConnecting{450};
    list(m_first);
    list(m_second);
    start();
    for (int n = 0; n < HandlersOfACall; ++n) {
        const std::size_t before = runs();
        call(request("/once/x"), "body", {.handlers = n, .time = LongerThanConnecting});
        runFor(Millis{30}); // Bytes in transit arrive.
        EXPECT_LE(runs() - before, 1U) << "the loop stalled after " << n << " handlers";
    }
}

// After a stall, the deadline may be checked before a response that has arrived is read. The caller must then not get a
// 503, which promises that the request did not run.
TEST_F(FrontTest, ExecutedRequestIsNotRefusedAsNotRunAfterLoopStall)
{
    list(m_first);
    start();
    for (int n = 0; n < HandlersOfACall; ++n) {
        const std::size_t before = runs();
        http::RequestHead head = request("/once/x");
        head.headers.set("X-Ibislock-Deadline-Ms", "100");
        const CallerAnswer answer = call(head, "body", {.handlers = n, .time = Millis{120}});
        runFor(Millis{30});
        EXPECT_TRUE(answer.status != 503 || runs() == before) << "the loop stalled after " << n << " handlers";
    }
}

const std::string UnansweredSend = "A request attempt failed.";
const std::string SecondSend = "Retrying a request.";

TEST_F(FrontTest, LogsUnconnectedAttemptsAndTheirRetries)
{
    listGone("i-3");
    listGone("i-4");
    start();
    lab::LogCapture log;
    EXPECT_EQ(call(request("/once/x")).status, 503);
    const auto ends = log.take(UnansweredSend);
    ASSERT_GE(ends.size(), 2U);
    for (std::size_t n = 0; n < ends.size(); ++n) {
        EXPECT_TRUE(lab::hasField(ends[n], "id", "attempt-1")) << ends[n];
        EXPECT_TRUE(lab::hasField(ends[n], "end", "not_connected")) << ends[n];
        EXPECT_TRUE(lab::hasField(ends[n], "connected", "0")) << ends[n];
        EXPECT_TRUE(lab::hasField(ends[n], "sends", std::to_string(n + 1))) << ends[n];
    }
    const auto again = log.take(SecondSend);
    ASSERT_EQ(again.size(), ends.size() - 1);
    for (std::size_t n = 0; n < again.size(); ++n) {
        EXPECT_TRUE(lab::hasField(again[n], "id", "attempt-1")) << again[n];
        EXPECT_TRUE(lab::hasField(again[n], "kind", "non_idempotent")) << again[n];
        EXPECT_TRUE(lab::hasField(again[n], "known", "unsent")) << again[n];
        EXPECT_TRUE(lab::hasField(again[n], "sends", std::to_string(n + 1))) << again[n];
    }
}

TEST_F(FrontTest, LogsLostAttemptAsConnectedAndItsRetry)
{
    m_first.behaviour = m_second.behaviour = TargetBehaviour::CloseUnanswered;
    list(m_first);
    list(m_second);
    start();
    lab::LogCapture log;
    EXPECT_EQ(call(request("/often/x")).status, 502);
    const auto ends = log.take(UnansweredSend);
    ASSERT_EQ(ends.size(), 2U);
    for (std::size_t n = 0; n < ends.size(); ++n) {
        EXPECT_TRUE(lab::hasField(ends[n], "end", "broken")) << ends[n];
        EXPECT_TRUE(lab::hasField(ends[n], "connected", "1")) << ends[n];
        EXPECT_TRUE(lab::hasField(ends[n], "sends", std::to_string(n + 1))) << ends[n];
    }
    const auto again = log.take(SecondSend);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_TRUE(lab::hasField(again[0], "id", "attempt-1")) << again[0];
    EXPECT_TRUE(lab::hasField(again[0], "kind", "idempotent")) << again[0];
    EXPECT_TRUE(lab::hasField(again[0], "known", "unknown")) << again[0];
    EXPECT_TRUE(lab::hasField(again[0], "sends", "1")) << again[0];
}

TEST_F(FrontTest, LogsRequestsThatTargetsDidNotExecuteWhateverTheStatus)
{
    m_first.behaviour = m_second.behaviour = TargetBehaviour::RefuseBusy;
    list(m_first);
    list(m_second);
    start();
    lab::LogCapture log;
    EXPECT_EQ(call(request("/often/x")).status, 503);
    EXPECT_EQ(runs(), 0U);
    const auto ends = log.take(UnansweredSend);
    ASSERT_EQ(ends.size(), 2U);
    for (const std::string &end : ends) {
        EXPECT_TRUE(lab::hasField(end, "end", "complete")) << end;
        EXPECT_TRUE(lab::hasField(end, "status", "429")) << end;
    }
}

TEST_F(FrontTest, LostNonIdempotentRequestIsNotRetried)
{
    m_first.behaviour = m_second.behaviour = TargetBehaviour::CloseUnanswered;
    list(m_first);
    list(m_second);
    start();
    lab::LogCapture log;
    EXPECT_EQ(call(request("/once/x")).status, 502);
    const auto ends = log.take(UnansweredSend);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_TRUE(lab::hasField(ends[0], "connected", "1")) << ends[0];
    EXPECT_TRUE(lab::hasField(ends[0], "sends", "1")) << ends[0];
    EXPECT_TRUE(log.take(SecondSend).empty());
}

TEST_F(FrontTest, LogsTheAgeAndTheSourceOfTheListingsOfEachSend)
{
    m_first.behaviour = m_second.behaviour = TargetBehaviour::CloseUnanswered;
    list(m_first);
    list(m_second);
    start();
    lab::LogCapture log;
    EXPECT_EQ(call(request("/often/x")).status, 502);
    std::vector<std::string> lines = log.take(UnansweredSend);
    for (const std::string &sentence : {SecondSend, std::string("A request was not served.")}) {
        for (const std::string &line : log.take(sentence)) {
            lines.push_back(line);
        }
    }
    ASSERT_EQ(lines.size(), 4U);
    for (const std::string &line : lines) {
        EXPECT_TRUE(lab::hasField(line, "listings_from", "store")) << line;
        const std::size_t at = line.find("listings_age_ms=");
        ASSERT_NE(at, std::string::npos) << line;
        const Millis age{std::stoll(line.substr(line.find('=', at) + 1))};
        EXPECT_GE(age, Millis{0}) << line;
        EXPECT_LT(age, Millis{5000}) << line;
    }
}

TEST_F(FrontTest, LogsThatARequestWasPlacedByNoListingsIfItWasNotSent)
{
    start();
    lab::LogCapture log;
    EXPECT_EQ(call(request("/often/x")).status, 503);
    const auto ends = log.take("A request was not served.");
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_TRUE(lab::hasField(ends[0], "listings_age_ms", "-1")) << ends[0];
    EXPECT_TRUE(lab::hasField(ends[0], "listings_from", "none")) << ends[0];
}

TEST_F(FrontTest, ReportsTheGreatestAgeOfTheListingsInUse)
{
    constexpr Millis Silence{700};
    std::uint16_t port = 0;
    {
        net::Listener probe(m_loop, [](const std::shared_ptr<net::Connection> &) {});
        ASSERT_FALSE(probe.open("127.0.0.1", 0));
        port = probe.port();
    }
    m_store.append("config", DesiredState);
    list(m_first);
    FrontDaemon daemon(m_loop, settingsFor(m_store.port()),
                       {.metricsPort = port, .randomSeed = RandomSeed, .startsWithOthers = false});
    ASSERT_TRUE(daemon.start());
    runFor(Millis{100});
    const auto finish = [&](std::uint16_t to, const std::string &bytes) {
        std::optional<std::string> out;
        const auto exchange = m_client.call(
            "127.0.0.1", to, bytes, {.timeout = Millis{5000}},
            [&](net::ExchangeOutcome, const http::ResponseHead &, const std::string &body) { out = body; });
        while (!out) {
            m_loop.run_one();
        }
        return *out;
    };
    m_store.silent = true;
    runFor(Silence);
    EXPECT_EQ(finish(daemon.callerPort(), writeRequest(request("/often/x"), "body")), "from i-1");
    const std::string name = "\nibislock_listings_greatest_used_age_ms ";
    const std::string metrics = finish(port, "GET /metrics HTTP/1.1\r\n\r\n");
    const std::size_t at = metrics.find(name);
    ASSERT_NE(at, std::string::npos) << metrics;
    EXPECT_GE(Millis{std::stoll(metrics.substr(at + name.size()))}, Silence / 2);
    EXPECT_NE(metrics.find("\nibislock_listings_own_reads_total "), std::string::npos) << metrics;
}

TEST_F(FrontTest, LogsTheAgeAndTheSourceOfAChangedListing)
{
    list(m_first);
    start();
    lab::LogCapture log;
    list(m_first, true);
    runFor(Millis{500});
    const auto changes = log.take("A target's listing changed.");
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_TRUE(lab::hasField(changes[0], "leaving", "1")) << changes[0];
    EXPECT_TRUE(lab::hasField(changes[0], "from", "store")) << changes[0];
    EXPECT_NE(changes[0].find(" age_ms="), std::string::npos) << changes[0];
}

TEST_F(FrontTest, LogsTheFramingAndTheIncompleteEventOfAResponse)
{
    m_first.behaviour = TargetBehaviour::StreamCutOff;
    list(m_first);
    start();
    lab::LogCapture log;
    call(request("/events/x"));
    const auto ends = log.take(UnansweredSend);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_TRUE(lab::hasField(ends[0], "framing", "chunked")) << ends[0];
    EXPECT_TRUE(lab::hasField(ends[0], "incomplete_bytes", "7")) << ends[0];
}

TEST_F(FrontTest, LogsTheSharedPartsOfAPromptWhoseAttemptFailed)
{
    m_first.behaviour = TargetBehaviour::CloseUnanswered;
    list(m_first);
    start();
    lab::LogCapture log;
    http::RequestHead head = request("/events/x");
    head.headers.add("X-Ibislock-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    call(head);
    const auto ends = log.take(UnansweredSend);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_TRUE(lab::hasField(ends[0], "events", "0")) << ends[0];
    EXPECT_TRUE(lab::hasField(ends[0], "parts", "5c1e07a2,91bd3f06")) << ends[0];
}

TEST_F(FrontTest, LogsTheWeightsOfEachAttemptAndWhetherItHadBegun)
{
    m_first.behaviour = TargetBehaviour::StreamCutOff;
    m_second.behaviour = TargetBehaviour::CloseUnanswered;
    m_first.weightsVersion = m_second.weightsVersion = 3;
    list(m_first);
    list(m_second);
    start(EngineState);
    lab::LogCapture log;
    http::RequestHead head = request("/events/x");
    call(head);
    const auto ends = log.take(UnansweredSend);
    ASSERT_EQ(ends.size(), 2U);
    for (const std::string &end : ends) {
        EXPECT_TRUE(lab::hasField(end, "weights", "3")) << end;
        // An attempt that follows one with events has none of its own.
        EXPECT_TRUE(lab::hasField(end, "begun", lab::hasField(end, "target", "i-1") ? "1" : "0")) << end;
    }
    const auto again = log.take(SecondSend);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_TRUE(lab::hasField(again[0], "weights", "3")) << again[0];
    const auto last = log.take("A request was not served.");
    ASSERT_EQ(last.size(), 1U);
    EXPECT_TRUE(lab::hasField(last[0], "weights", "3")) << last[0];
}

TEST_F(FrontTest, LogsWhenAnAnnouncementCanHaveBeenMadeAtTheEarliest)
{
    start();
    m_store.append("version/m", R"({"Model":"m","Version":2})");
    lab::LogCapture log;
    runFor(Millis{60});
    m_store.append("version/m", R"({"Model":"m","Version":3})");
    runFor(Millis{60});
    const auto lines = log.take("New weights were announced.");
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_TRUE(lab::hasField(lines[1], "offset", "2")) << lines[1];
    EXPECT_TRUE(lab::hasField(lines[1], "from", "store")) << lines[1];
    EXPECT_FALSE(lab::hasField(lines[1], "max_age_ms", "-1")) << lines[1];
}

TEST_F(FrontTest, LogsLoopStall)
{
    start();
    lab::LogCapture log;
    std::this_thread::sleep_for(StallReportThreshold * 2);
    m_loop.poll();
    const auto lines = log.take("front: The event loop stalled.");
    ASSERT_FALSE(lines.empty());
    EXPECT_NE(lines[0].find(" stall_ms="), std::string::npos) << lines[0];
}

} // namespace

} // namespace ibislock::front
