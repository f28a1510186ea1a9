// Streams of targets: which ends are complete, and what the caller gets of a truncated stream.

#include "front_fixture.h"

#include "platform/log_capture.h"

namespace ibislock::front
{

namespace
{

/// Number of requests of a test; they start at either target.
constexpr int Requests = 8;

/// The whole stream of a target stand-in.
std::string wholeStream()
{
    std::string out;
    for (int n = 0; n < 5; ++n) {
        out += "id: " + std::to_string(n) + "\ndata: event " + std::to_string(n) + "\n\n";
    }
    return out;
}

/// How the stream of the first target is truncated.
struct TruncationCase
{
    std::string name;
    TargetBehaviour behaviour = TargetBehaviour::StreamCutOff;
    std::string events; ///< The complete events that it sends.
};

class FrontTruncationTest : public FrontTest, public testing::WithParamInterface<TruncationCase>
{
};

// A stream that ends inside an event was forwarded as complete when its connection or its chunks ended properly.
TEST_P(FrontTruncationTest, TruncatedStreamIsNotForwardedAsComplete)
{
    m_first.behaviour = GetParam().behaviour;
    m_second.behaviour = TargetBehaviour::Stream;
    list(m_first);
    list(m_second);
    start();
    for (int n = 0; n < Requests; ++n) {
        const CallerAnswer answer = call(request("/fixed/x"));
        const bool truthful =
            answer.whole ? answer.status != 200 || answer.body == wholeStream() : answer.body == GetParam().events;
        EXPECT_TRUE(truthful) << answer.status << (answer.whole ? " complete: " : " incomplete: ") << answer.body;
    }
    EXPECT_GT(m_first.requests.size(), 0U);
}

TEST_P(FrontTruncationTest, TruncatedStreamIsResumedAtAnotherTarget)
{
    m_first.behaviour = GetParam().behaviour;
    m_second.behaviour = TargetBehaviour::Stream;
    list(m_first);
    list(m_second);
    start();
    for (int n = 0; n < Requests; ++n) {
        const CallerAnswer answer = call(request("/events/x"));
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.whole);
        EXPECT_EQ(answer.body, wholeStream());
    }
    EXPECT_GT(m_first.requests.size(), 0U);
}

TEST_P(FrontTruncationTest, TruncatedStreamCountsAsFailureOfItsTarget)
{
    m_first.behaviour = GetParam().behaviour;
    list(m_first);
    start();
    lab::LogCapture log;
    call(request("/fixed/x"));
    const auto ends = log.take("A request attempt failed.");
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_TRUE(lab::hasField(ends[0], "end", "broken")) << ends[0];
}

const std::string TwoEvents = "id: 0\ndata: event 0\n\nid: 1\ndata: event 1\n\n";

INSTANTIATE_TEST_SUITE_P(
    Cases, FrontTruncationTest,
    testing::Values(TruncationCase{"InChunks", TargetBehaviour::StreamCutOff, TwoEvents},
                    TruncationCase{"InCompleteChunks", TargetBehaviour::StreamFramedCutOff, TwoEvents},
                    TruncationCase{"CloseDelimited", TargetBehaviour::StreamUnframedCutOff, TwoEvents},
                    TruncationCase{"CloseDelimitedWithoutEvents", TargetBehaviour::StreamUnframedEmpty, ""}),
    [](const auto &item) { return item.param.name; });

class FrontWholeStreamTest : public FrontTest, public testing::WithParamInterface<TargetBehaviour>
{
};

TEST_P(FrontWholeStreamTest, WholeStreamIsForwardedAsComplete)
{
    m_first.behaviour = GetParam();
    list(m_first);
    start();
    for (const char *path : {"/events/x", "/fixed/x"}) {
        const CallerAnswer answer = call(request(path));
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.whole);
        EXPECT_EQ(answer.body.substr(0, wholeStream().size()), wholeStream());
    }
    EXPECT_EQ(runs(), 2U);
}

INSTANTIATE_TEST_SUITE_P(Cases, FrontWholeStreamTest,
                         testing::Values(TargetBehaviour::Stream, TargetBehaviour::StreamUnframed,
                                         TargetBehaviour::StreamWithTail));

} // namespace

} // namespace ibislock::front
