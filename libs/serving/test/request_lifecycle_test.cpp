#include "ibislock/serving/request_lifecycle.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

/// What really happened, beside what the entry VM knows.
struct Truth
{
    int runs = 0; ///< How often targets may have run it, at the most.
    bool underWay = false; ///< A target may be running it now.
    bool callerHasPart = false;
    int answers = 0; ///< Final words to the caller.
};

/// Checks what is said against what happened.
void check(const Truth &truth, RequestAction action)
{
    if (action == RequestAction::RespondNotRun) {
        EXPECT_EQ(truth.runs, 0);
        EXPECT_FALSE(truth.underWay);
        EXPECT_FALSE(truth.callerHasPart);
    }
    if (action == RequestAction::RespondOutcomeUnknown) {
        EXPECT_FALSE(truth.callerHasPart) << "a second head would be written";
    }
    if (action == RequestAction::AbortConnection) {
        EXPECT_TRUE(truth.callerHasPart);
    }
}

/// Explores all lives of a kind of request up to some events.
struct Explorer
{
    RequestKind kind;
    bool resumable;
    int lives = 0;

    void explore(const RequestLifecycle &life, const Truth &truth, int depth)
    {
        ++lives;
        ASSERT_LE(truth.answers, 1);
        if (kind == RequestKind::NonIdempotent || (kind == RequestKind::Stream && !resumable)) {
            ASSERT_LE(truth.runs, 1);
        }
        if (depth == 0 || truth.answers > 0) {
            return;
        }
        if (!truth.underWay && maySend(life, kind, resumable)) {
            Truth next = truth;
            next.underWay = true;
            ++next.runs; // From now on, it may run.
            step(life, RequestEvent::Send, next, depth);
        }
        if (truth.underWay) {
            exploreSend(life, truth, depth);
        }
        Truth ended = truth;
        ++ended.answers;
        step(life, RequestEvent::StopRetrying, ended, depth);
    }

    /// The ends of a send that is under way.
    void exploreSend(const RequestLifecycle &life, const Truth &truth, int depth)
    {
        Truth refused = truth;
        refused.underWay = false;
        --refused.runs; // The target says, or its connection never came about, that it did not.
        if (!truth.callerHasPart) {
            step(life, RequestEvent::Refused, refused, depth);
        }
        Truth lost = truth;
        lost.underWay = false;
        step(life, RequestEvent::OutcomeUnknown, lost, depth);
        Truth begun = truth;
        begun.callerHasPart = true;
        if (!truth.callerHasPart) {
            step(life, RequestEvent::ResponseStarted, begun, depth);
        }
        Truth whole = truth;
        whole.underWay = false;
        ++whole.answers;
        step(life, RequestEvent::ResponseComplete, whole, depth);
    }

    void step(RequestLifecycle life, RequestEvent event, const Truth &truth, int depth)
    {
        const RequestAction action = advance(life, event);
        check(truth, action);
        const bool final = event == RequestEvent::StopRetrying || event == RequestEvent::ResponseComplete;
        EXPECT_EQ(action != RequestAction::None, final) << life.state;
        EXPECT_EQ(responseStarted(life), truth.callerHasPart && !final);
        explore(life, truth, depth - 1);
    }
};

/// A kind of request.
struct KindCase
{
    std::string name;
    RequestKind kind = RequestKind::Idempotent;
    bool resumable = false;
};

class RequestLifeTest : public testing::TestWithParam<KindCase>
{
};

TEST_P(RequestLifeTest, NoLifeEndsInAnUntruthOrRunsTwiceAgainstItsKind)
{
    constexpr int Depth = 18;
    Explorer explorer{.kind = GetParam().kind, .resumable = GetParam().resumable};
    explorer.explore({}, {}, Depth);
    EXPECT_GT(explorer.lives, 100);
}

INSTANTIATE_TEST_SUITE_P(Kinds, RequestLifeTest,
                         testing::Values(KindCase{"Idempotent", RequestKind::Idempotent, false},
                                         KindCase{"NonIdempotent", RequestKind::NonIdempotent, false},
                                         KindCase{"Stream", RequestKind::Stream, false},
                                         KindCase{"ResumableStream", RequestKind::Stream, true}),
                         [](const auto &item) { return item.param.name; });

} // namespace

} // namespace ibislock::serving
