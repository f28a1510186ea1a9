#include "ibislock/serving/request_lifecycle.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

/// Ground truth of a request, in contrast to the entry VM's knowledge.
struct GroundTruth
{
    int runs = 0; ///< Maximum number of times that targets may have executed it.
    bool inFlight = false; ///< A target may be executing it now.
    bool callerHasPart = false;
    int responses = 0; ///< Final responses to the caller.
};

/// Checks what the caller is told against the ground truth.
void check(const GroundTruth &truth, RequestAction action)
{
    if (action == RequestAction::RespondNotRun) {
        EXPECT_EQ(truth.runs, 0);
        EXPECT_FALSE(truth.inFlight);
        EXPECT_FALSE(truth.callerHasPart);
    }
    if (action == RequestAction::RespondOutcomeUnknown) {
        EXPECT_FALSE(truth.callerHasPart) << "a second response head would be written";
    }
    if (action == RequestAction::AbortConnection) {
        EXPECT_TRUE(truth.callerHasPart);
    }
}

/// Explores all sequences of events of a kind of request up to a depth.
struct Explorer
{
    RequestKind kind;
    bool resumable;
    int sequences = 0;

    void explore(const RequestLifecycle &lifecycle, const GroundTruth &truth, int depth)
    {
        ++sequences;
        ASSERT_LE(truth.responses, 1);
        if (kind == RequestKind::NonIdempotent || (kind == RequestKind::Stream && !resumable)) {
            ASSERT_LE(truth.runs, 1);
        }
        if (depth == 0 || truth.responses > 0) {
            return;
        }
        if (!truth.inFlight && maySend(lifecycle, kind, resumable)) {
            GroundTruth next = truth;
            next.inFlight = true;
            ++next.runs; // The target may execute it from now on.
            step(lifecycle, RequestEvent::Send, next, depth);
        }
        if (truth.inFlight) {
            exploreAttempt(lifecycle, truth, depth);
        }
        GroundTruth stopped = truth;
        ++stopped.responses;
        step(lifecycle, RequestEvent::StopRetrying, stopped, depth);
    }

    /// Explores the outcomes of an attempt that is in flight.
    void exploreAttempt(const RequestLifecycle &lifecycle, const GroundTruth &truth, int depth)
    {
        GroundTruth refused = truth;
        refused.inFlight = false;
        --refused.runs; // The target reported that it did not execute it, or no connection was established.
        if (!truth.callerHasPart) {
            step(lifecycle, RequestEvent::Refused, refused, depth);
        }
        GroundTruth unknown = truth;
        unknown.inFlight = false;
        step(lifecycle, RequestEvent::OutcomeUnknown, unknown, depth);
        GroundTruth started = truth;
        started.callerHasPart = true;
        if (!truth.callerHasPart) {
            step(lifecycle, RequestEvent::ResponseStarted, started, depth);
        }
        GroundTruth complete = truth;
        complete.inFlight = false;
        ++complete.responses;
        step(lifecycle, RequestEvent::ResponseComplete, complete, depth);
    }

    void step(RequestLifecycle lifecycle, RequestEvent event, const GroundTruth &truth, int depth)
    {
        const RequestAction action = advance(lifecycle, event);
        check(truth, action);
        const bool final = event == RequestEvent::StopRetrying || event == RequestEvent::ResponseComplete;
        EXPECT_EQ(action != RequestAction::None, final) << lifecycle.state;
        EXPECT_EQ(responseStarted(lifecycle), truth.callerHasPart && !final);
        explore(lifecycle, truth, depth - 1);
    }
};

/// A kind of request.
struct KindCase
{
    std::string name;
    RequestKind kind = RequestKind::Idempotent;
    bool resumable = false;
};

class RequestLifecycleTest : public testing::TestWithParam<KindCase>
{
};

TEST_P(RequestLifecycleTest, NoSequenceMisinformsTheCallerOrRunsTwiceAgainstItsKind)
{
    constexpr int Depth = 18;
    Explorer explorer{.kind = GetParam().kind, .resumable = GetParam().resumable};
    explorer.explore({}, {}, Depth);
    EXPECT_GT(explorer.sequences, 100);
}

INSTANTIATE_TEST_SUITE_P(Kinds, RequestLifecycleTest,
                         testing::Values(KindCase{"Idempotent", RequestKind::Idempotent, false},
                                         KindCase{"NonIdempotent", RequestKind::NonIdempotent, false},
                                         KindCase{"Stream", RequestKind::Stream, false},
                                         KindCase{"ResumableStream", RequestKind::Stream, true}),
                         [](const auto &item) { return item.param.name; });

} // namespace

} // namespace ibislock::serving
