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
