// Prompts with a part that crashes engines: how many engines they reach, and what sound requests get meanwhile.

#include "front_fixture.h"

namespace ibislock::front
{

namespace
{

/// Crashes after which the part must be known, and requests that may still be sent then.
constexpr int CrashesUntilKnown = 5;
constexpr int SendsAfterwards = 3;

/// Time between two requests; crashes at the same moment have one cause as a rule.
constexpr Millis Pause{200};

class FrontQuarantineTest : public FrontTest
{
protected:
    /// Starts the daemon with engines that crash on the part `bad`.
    void startEngines(int count)
    {
        for (int n = 0; n < count; ++n) {
            m_engines.push_back(std::make_unique<lab::TargetStandIn>(m_loop, "e-" + std::to_string(n)));
            m_engines.back()->behaviour = TargetBehaviour::StreamUnlessCrashing;
            m_engines.back()->weightsVersion = 1;
            list(*m_engines.back());
        }
        start(EngineState);
    }

    CallerAnswer callWithParts(const std::string &parts)
    {
        http::RequestHead head = request("/events/x");
        head.headers.add("X-Ibislock-Model", "m");
        head.headers.add("X-Ibislock-Token-Count", "100,100");
        head.headers.add("X-Ibislock-Prompt-Prefix", parts + ",f" + std::to_string(m_attempts) + ":50");
        return call(head);
    }

    int crashes() const
    {
        int out = 0;
        for (const auto &engine : m_engines) {
            out += engine->crashes;
        }
        return out;
    }

    std::vector<std::unique_ptr<lab::TargetStandIn>> m_engines;
};

// Each request with such a part was sent to two engines, and each engine that began to answer it crashed.
TEST_F(FrontQuarantineTest, PromptPartThatCrashesEnginesIsNotSentOn)
{
    constexpr int Rounds = 12;
    startEngines(8);
    CallerAnswer last;
    for (int n = 0; n < Rounds; ++n) {
        last = callWithParts("1:40,bad:200");
        runFor(Pause);
    }
    EXPECT_LE(crashes(), CrashesUntilKnown + SendsAfterwards);
    EXPECT_EQ(last.status, 503);
    EXPECT_TRUE(last.headers.find("Retry-After"));
}

TEST_F(FrontQuarantineTest, RequestsThatShareOtherPartsWithACrashingPromptAreServed)
{
    constexpr int Rounds = 8;
    startEngines(8);
    for (int n = 0; n < Rounds; ++n) {
        callWithParts("1:40,bad:200,2:100");
        EXPECT_EQ(callWithParts("1:40,2:100").status, 200) << n;
        runFor(Pause);
    }
    EXPECT_EQ(callWithParts("1:40,3:100").status, 200);
}

} // namespace

} // namespace ibislock::front
