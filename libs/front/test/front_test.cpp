#include "front_fixture.h"

namespace ibislock::front
{

namespace
{

/// What both targets do, and the response that the caller must get.
struct OutcomeCase
{
    std::string name;
    std::string path;
    TargetBehaviour behaviour = TargetBehaviour::Answer;
    int status = 0;
    std::size_t runs = 1; ///< Executions of the request on both targets.
    std::string body;
};

class FrontOutcomeTest : public FrontTest, public testing::WithParamInterface<OutcomeCase>
{
};

TEST_P(FrontOutcomeTest, ResponseMatchesWhatTheTargetsDid)
{
    m_first.behaviour = m_second.behaviour = GetParam().behaviour;
    list(m_first);
    list(m_second);
    start();
    const CallerAnswer answer = call(request(GetParam().path));
    EXPECT_EQ(answer.status, GetParam().status);
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(runs(), GetParam().runs);
    const bool success = answer.status == 200;
    EXPECT_EQ(success, answer.headers.find("X-Ibislock-Response-Signature").has_value() && answer.status != 500);
    if (success) {
        EXPECT_EQ(answer.body.substr(0, 7), "from i-");
    }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, FrontOutcomeTest,
    testing::Values(
        OutcomeCase{"NonIdempotentSuccess", "/once/x", TargetBehaviour::Answer, 200, 1},
        OutcomeCase{"NonIdempotentLateResponseToAnotherRequest", "/once/x", TargetBehaviour::AnswerTwice, 200, 1},
        OutcomeCase{"NonIdempotentBytesAfterTheResponse", "/once/x", TargetBehaviour::Extra, 200, 1},
        OutcomeCase{"NonIdempotentError", "/once/x", TargetBehaviour::Fail, 500, 1},
        OutcomeCase{"NonIdempotentRefused", "/once/x", TargetBehaviour::Refuse, 503, 0},
        OutcomeCase{"NonIdempotentRefusalWithoutId", "/once/x", TargetBehaviour::RefuseUnnamed, 502, 1},
        OutcomeCase{"NonIdempotentMisdirectionWithoutId", "/once/x", TargetBehaviour::MisdirectUnnamed, 502, 1},
        OutcomeCase{"NonIdempotentErrorWithoutId", "/once/x", TargetBehaviour::FailUnnamed, 502, 1},
        OutcomeCase{"FixedStreamRefusalWithoutId", "/fixed/x", TargetBehaviour::RefuseUnnamed, 502, 1},
        OutcomeCase{"NonIdempotentResponseLost", "/once/x", TargetBehaviour::CloseUnanswered, 502, 1},
        OutcomeCase{"NonIdempotentResponseTruncated", "/once/x", TargetBehaviour::CutOff, 502, 1},
        OutcomeCase{"NonIdempotentUnsigned", "/once/x", TargetBehaviour::Unsigned, 502, 1},
        OutcomeCase{"NonIdempotentEncoded", "/once/x", TargetBehaviour::Encoded, 502, 1},
        OutcomeCase{"NonIdempotentCloseDelimited", "/once/x", TargetBehaviour::Unframed, 200, 1},
        OutcomeCase{"NonIdempotentNoResponse", "/once/x", TargetBehaviour::Silent, 504, 1},
        OutcomeCase{"IdempotentResponseLost", "/often/x", TargetBehaviour::CloseUnanswered, 502, 2},
        OutcomeCase{"IdempotentError", "/often/x", TargetBehaviour::Fail, 500, 2},
        OutcomeCase{"IdempotentRefused", "/often/x", TargetBehaviour::Refuse, 503, 0},
        OutcomeCase{"IdempotentRefusalWithoutId", "/often/x", TargetBehaviour::RefuseUnnamed, 502, 2}),
    [](const auto &item) { return item.param.name; });

TEST_F(FrontTest, RefusesRequestsWithoutDesiredState)
{
    start("");
    EXPECT_EQ(call(request("/once/x")).status, 503);
}

TEST_F(FrontTest, RefusesUnknownRoutesAndKeys)
{
    list(m_first);
    start();
    EXPECT_EQ(call(request("/other/x")).status, 404);
    EXPECT_EQ(call(request("/once/x", "wrong")).status, 401);
    EXPECT_EQ(call(request("/once/x", "")).status, 401);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(FrontTest, ServiceWithoutTargetsIsRefusedWithRetryAfter)
{
    start();
    const CallerAnswer answer = call(request("/nobody/x"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.find("Retry-After"));
}

TEST_F(FrontTest, ForwardsTheRequestWithTheWorkspaceInsteadOfTheKey)
{
    list(m_first);
    start();
    http::RequestHead head = request("/once/x?a=b");
    head.headers.add("X-Own", "1");
    call(head, "the body");
    ASSERT_EQ(m_first.requests.size(), 1U);
    const http::RequestHead &got = m_first.requests.front();
    EXPECT_EQ(got.target, "/once/x?a=b");
    EXPECT_EQ(m_first.bodies.front(), "the body");
    EXPECT_EQ(got.headers.find("X-Own"), "1");
    EXPECT_EQ(got.headers.find("X-Ibislock-Tenant"), "w");
    EXPECT_EQ(got.headers.find("X-Ibislock-Expect-Instance"), "i-1");
    EXPECT_FALSE(got.headers.find("X-Api-Key"));
    const auto left = http::parseUnsigned(got.headers.find("X-Ibislock-Deadline-Ms").value_or(""));
    ASSERT_TRUE(left);
    EXPECT_LE(*left, 700U);
}

TEST_F(FrontTest, AnonymousRouteNeedsNoKey)
{
    list(m_first);
    start();
    EXPECT_EQ(call(request("/open/x", "")).status, 200);
    EXPECT_FALSE(m_first.requests.front().headers.find("X-Ibislock-Tenant"));
}

TEST_F(FrontTest, IdempotentRequestIsRetriedWhenItsResponseIsLost)
{
    m_first.behaviour = TargetBehaviour::CloseUnanswered;
    list(m_first);
    list(m_second);
    start();
    for (int n = 0; n < 4; ++n) {
        EXPECT_EQ(call(request("/often/x")).body, "from i-2");
    }
}

TEST_F(FrontTest, IdempotentRequestMovesAwayFromUnresponsiveTarget)
{
    m_first.behaviour = TargetBehaviour::Silent;
    list(m_first);
    list(m_second);
    start();
    for (int n = 0; n < 4; ++n) {
        EXPECT_EQ(call(request("/often/x")).body, "from i-2");
    }
}

TEST_F(FrontTest, RequestThatMayHaveRunIsNeverRefusedAsNotRun)
{
    // The first attempt is lost and there is no second target: 503 would promise that the request did not run.
    m_first.behaviour = TargetBehaviour::CloseUnanswered;
    list(m_first);
    start();
    EXPECT_EQ(call(request("/often/x")).status, 502);
    EXPECT_EQ(call(request("/events/x")).status, 502);
    EXPECT_EQ(runs(), 2U);
}

TEST_F(FrontTest, WaitsForUnresponsiveTargetWithoutAnAlternative)
{
    m_first.behaviour = TargetBehaviour::Late;
    list(m_first);
    start();
    EXPECT_EQ(call(request("/often/x")).status, 200);
}

TEST_F(FrontTest, InterruptedStreamIsResumedWithoutGapOrDuplicate)
{
    m_first.behaviour = TargetBehaviour::StreamCutOff;
    m_second.behaviour = TargetBehaviour::Stream;
    list(m_first);
    list(m_second);
    start();
    std::string expected;
    for (int n = 0; n < 5; ++n) {
        expected += "id: " + std::to_string(n) + "\ndata: event " + std::to_string(n) + "\n\n";
    }
    // Streams start at either target; those that start at the first one must be resumed at the second one.
    for (int n = 0; n < 8; ++n) {
        const CallerAnswer answer = call(request("/events/x"));
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.whole);
        EXPECT_EQ(answer.body, expected);
    }
    EXPECT_GT(m_first.requests.size(), 0U);
}

TEST_F(FrontTest, ErrorOfTheSecondTargetIsNotWrittenIntoAStartedStream)
{
    m_first.behaviour = TargetBehaviour::StreamCutOff;
    m_second.behaviour = TargetBehaviour::Fail;
    list(m_first);
    list(m_second);
    start();
    for (int n = 0; n < 8; ++n) {
        const CallerAnswer answer = call(request("/events/x"));
        if (answer.status == 200) {
            EXPECT_FALSE(answer.whole);
            EXPECT_EQ(answer.body, "id: 0\ndata: event 0\n\nid: 1\ndata: event 1\n\n");
        } else {
            // It started at the second target, or both targets are ejected after their failures.
            EXPECT_TRUE(answer.status == 500 || answer.status == 503) << answer.status;
        }
    }
    EXPECT_GT(m_first.requests.size(), 0U);
}

TEST_F(FrontTest, StreamWithoutEventIdsIsNotRestarted)
{
    m_first.behaviour = m_second.behaviour = TargetBehaviour::StreamWithoutIds;
    list(m_first);
    list(m_second);
    start();
    const CallerAnswer answer = call(request("/events/x"));
    EXPECT_FALSE(answer.whole);
    EXPECT_EQ(answer.body, "data: event 0\n\ndata: event 1\n\n");
    EXPECT_EQ(runs(), 1U);
}

// The target closes a used connection at the next request. A stream that may not run twice must not be sent over it.
TEST_F(FrontTest, NonResumableStreamUsesANewConnection)
{
    m_first.behaviour = TargetBehaviour::StreamOnce;
    list(m_first);
    start();
    for (int n = 0; n < 3; ++n) {
        EXPECT_EQ(call(request("/fixed/x")).status, 200);
    }
    EXPECT_EQ(runs(), 3U);
}

TEST_F(FrontTest, StreamThatCannotBeResumedEndsIncomplete)
{
    m_first.behaviour = TargetBehaviour::StreamCutOff;
    list(m_first);
    start();
    const CallerAnswer answer = call(request("/events/x"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_FALSE(answer.whole);
}

TEST_F(FrontTest, DisconnectOfTheCallerCancelsTheRequestAtTheTarget)
{
    m_first.behaviour = TargetBehaviour::Silent;
    list(m_first);
    start();
    const auto exchange =
        m_client.send("127.0.0.1", m_daemon.callerPort(), writeRequest(request("/once/x"), "b"), {}, {});
    runFor(Millis{50});
    ASSERT_EQ(m_first.open, 1);
    exchange->cancel();
    runFor(Millis{50});
    EXPECT_EQ(m_first.open, 0);
}

TEST_F(FrontTest, QueuedRequestIsCancelledBeforeItStartsOnRetiredWeights)
{
    m_first.behaviour = TargetBehaviour::Silent;
    m_first.weightsVersion = 1;
    list(m_first);
    start(EngineState);
    m_store.append("version/m", R"({"Model":"m","Version":2})");
    runFor(Millis{50});
    http::RequestHead head = request("/events/x");
    head.headers.set("X-Ibislock-Deadline-Ms", "6000");
    head.headers.add("X-Ibislock-Model", "m");
    const auto exchange = m_client.send("127.0.0.1", m_daemon.callerPort(), writeRequest(head, "b"), {}, {});
    runFor(VersionTime - Millis{900});
    ASSERT_EQ(m_first.open, 1);
    runFor(Millis{300}); // About 550 ms before the older version is retired.
    EXPECT_EQ(m_first.open, 0);
}

TEST_F(FrontTest, DrainingTargetGetsNoMoreRequests)
{
    list(m_first);
    list(m_second);
    start();
    list(m_first, true);
    runFor(Millis{1500}); // Listings are read every 0.8 s.
    for (int n = 0; n < 10; ++n) {
        EXPECT_EQ(call(request("/once/x")).body, "from i-2");
    }
}

TEST_F(FrontTest, TargetThatSignalsDrainingGetsNoMoreRequestsWhateverItsListing)
{
    m_first.said.add("Server-Leaving", "1");
    list(m_first);
    list(m_second);
    start();
    while (m_first.requests.empty()) {
        call(request("/often/x"));
    }
    list(m_first);
    runFor(Millis{1000}); // A listing without the draining mark is read.
    for (int n = 0; n < 20; ++n) {
        EXPECT_EQ(call(request("/often/x")).body, "from i-2");
    }
    EXPECT_EQ(m_first.requests.size(), 1U);
}

TEST_F(FrontTest, TargetGetsNoRequestsDuringItsBackoff)
{
    m_first.behaviour = TargetBehaviour::Refuse;
    m_first.said.add("Retry-After", "1.2");
    list(m_first);
    start();
    EXPECT_EQ(call(request("/once/x")).status, 503);
    m_first.behaviour = TargetBehaviour::Answer;
    const CallerAnswer answer = call(request("/once/x"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_GT(std::stod(std::string(answer.headers.find("Retry-After").value_or("0"))), 1.0);
    EXPECT_EQ(runs(), 0U);
    runFor(Millis{1300});
    EXPECT_EQ(call(request("/once/x")).status, 200);
}

TEST_F(FrontTest, IgnoresInvalidRetryAfter)
{
    m_first.behaviour = TargetBehaviour::Refuse;
    list(m_first);
    start();
    for (const char *pause : {"-5", "Fri, 04 Dec 2026 10:00:00 GMT", "soon", "1e9", "99999999999999999999", ""}) {
        m_first.behaviour = TargetBehaviour::Refuse;
        m_first.said = {};
        m_first.said.add("Retry-After", pause);
        EXPECT_EQ(call(request("/once/x")).status, 503);
        m_first.behaviour = TargetBehaviour::Answer;
        EXPECT_EQ(call(request("/once/x")).status, 200) << pause;
    }
}

/// A target that sends without end, and the response that the caller must get before its deadline.
struct EndlessCase
{
    std::string name;
    std::string path;
    TargetBehaviour behaviour = TargetBehaviour::EndlessBody;
    int status = 0;
    bool whole = true;
};

class FrontEndlessTest : public FrontTest, public testing::WithParamInterface<EndlessCase>
{
};

TEST_P(FrontEndlessTest, EndlessResponseIsCancelledAndTheCallerGetsAnEnd)
{
    constexpr std::size_t MostBytes = 6U << 20U; // The largest buffered response, and bytes in transit.
    m_first.behaviour = GetParam().behaviour;
    list(m_first);
    start();
    const CallerAnswer answer = call(request(GetParam().path));
    EXPECT_EQ(answer.status, GetParam().status);
    EXPECT_EQ(answer.whole, GetParam().whole);
    runFor(Millis{100});
    EXPECT_EQ(m_first.open, 0);
    EXPECT_LT(m_first.endlessBytes, MostBytes);
}

INSTANTIATE_TEST_SUITE_P(Cases, FrontEndlessTest,
                         testing::Values(EndlessCase{"Head", "/once/x", TargetBehaviour::EndlessHead, 502},
                                         EndlessCase{"Body", "/once/x", TargetBehaviour::EndlessBody, 502},
                                         // A signed failure on a streaming route was buffered without a limit.
                                         EndlessCase{"BodyOfAFailedStream", "/fixed/x", TargetBehaviour::EndlessFailure,
                                                     502},
                                         EndlessCase{"Noise", "/once/x", TargetBehaviour::EndlessNoise, 502},
                                         EndlessCase{"Interim", "/once/x", TargetBehaviour::EndlessInterim, 502},
                                         EndlessCase{"AfterAResponse", "/once/x", TargetBehaviour::EndlessBehind, 200},
                                         EndlessCase{"Event", "/events/x", TargetBehaviour::EndlessEvent, 200, false}),
                         [](const auto &item) { return item.param.name; });

TEST_F(FrontTest, StoppingVmServesRequestsAndClosesTheirConnections)
{
    list(m_first);
    start();
    m_daemon.stop();
    const CallerAnswer answer = call(request("/once/x"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.headers.find("Connection"), "close");
}

} // namespace

} // namespace ibislock::front
