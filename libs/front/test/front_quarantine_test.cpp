// Prompts with a part that crashes engines: how many engines they reach, and what sound requests get meanwhile.

#include "front_fixture.h"

#include "platform/log_capture.h"

namespace ibislock::front
{

namespace
{

/// Crashes after which the part must be known, and requests that may still be sent then.
constexpr int CrashesUntilKnown = 5;
constexpr int SendsAfterwards = 3;

/// Crashes after which a request that crashes targets by itself must be known.
constexpr int CrashesUntilRequestIsKnown = 3;

/// The body of the request that crashes targets.
const std::string Deadly = "deadly";

/// Time between two requests; crashes at the same moment have one cause as a rule.
constexpr Millis Pause{200};

class FrontQuarantineTest : public FrontTest
{
protected:
    /// Starts the daemon with engines that crash on the part `bad`.
    void startEngines(int count)
    {
        listEngines(count);
        start(EngineState);
    }

    void listEngines(int count)
    {
        for (int n = 0; n < count; ++n) {
            m_engines.push_back(std::make_unique<lab::TargetStandIn>(m_loop, "e-" + std::to_string(m_engines.size())));
            m_engines.back()->behaviour = TargetBehaviour::StreamUnlessCrashing;
            m_engines.back()->weightsVersion = 1;
            list(*m_engines.back());
        }
    }

    /// Starts the daemon with plain targets that crash on the request `Deadly`.
    void startPlainTargets(int count, TargetBehaviour behaviour = TargetBehaviour::AnswerUnlessCrashing)
    {
        for (int n = 0; n < count; ++n) {
            m_engines.push_back(std::make_unique<lab::TargetStandIn>(m_loop, "t-" + std::to_string(n)));
            m_engines.back()->behaviour = behaviour;
            list(*m_engines.back());
        }
        start();
    }

    /// @param body empty for one that no other request has.
    CallerAnswer callWithParts(const std::string &parts, const std::string &body = "")
    {
        http::RequestHead head = request("/events/x");
        head.headers.add("X-Ibislock-Model", "m");
        head.headers.add("X-Ibislock-Token-Count", "100,100");
        head.headers.add("X-Ibislock-Prompt-Prefix", parts + ",f" + std::to_string(m_attempts) + ":50");
        return call(head, body.empty() ? "prompt " + std::to_string(m_attempts) : body);
    }

    /// Lists the targets that have crashed as started anew.
    void restartCrashed()
    {
        for (const auto &engine : m_engines) {
            if (engine->startedAt != engine->crashes) {
                engine->startedAt = engine->crashes;
                listAndWait(*engine);
            }
        }
    }

    /// Takes the targets that have crashed out of service, as none can crash twice.
    void unlistCrashed()
    {
        for (const auto &engine : m_engines) {
            if (engine->crashes > 0) {
                list(*engine, /*leaving=*/true);
            }
        }
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
        restartCrashed();
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
        restartCrashed();
        EXPECT_EQ(callWithParts("1:40,2:100").status, 200) << n;
        runFor(Pause);
    }
    EXPECT_EQ(callWithParts("1:40,3:100").status, 200);
}

// Each part of such a request's prompt is in sound requests as well, whose answers clear it.
TEST_F(FrontQuarantineTest, RequestThatCrashesEnginesIsNotSentOn)
{
    constexpr int Rounds = 12;
    startEngines(12);
    CallerAnswer last;
    for (int n = 0; n < Rounds; ++n) {
        last = callWithParts("1:40,2:100", Deadly);
        unlistCrashed();
        EXPECT_EQ(callWithParts("1:40,2:100", "sound " + std::to_string(n)).status, 200) << n;
        runFor(Pause);
    }
    EXPECT_LE(crashes(), CrashesUntilRequestIsKnown + SendsAfterwards);
    EXPECT_EQ(last.status, 503);
    EXPECT_TRUE(last.headers.find("Retry-After"));
}

TEST_F(FrontQuarantineTest, RequestWithoutPromptPartsThatCrashesEnginesIsNotSentOn)
{
    constexpr int Rounds = 12;
    startEngines(12);
    CallerAnswer last;
    for (int n = 0; n < Rounds; ++n) {
        last = call(request("/events/x"), Deadly);
        unlistCrashed();
        EXPECT_EQ(call(request("/events/x"), "sound").status, 200) << n;
        runFor(Pause);
    }
    EXPECT_LE(crashes(), CrashesUntilRequestIsKnown + SendsAfterwards);
    EXPECT_EQ(last.status, 503);
}

// The request would crash the engine as soon as this one begins it.
TEST_F(FrontQuarantineTest, RequestThatWaitsAtAnEngineIsCancelledWhenItIsQuarantined)
{
    std::string state = EngineState;
    state.replace(state.find("\"MaxAttempts\":2"), std::string("\"MaxAttempts\":2").size(), "\"MaxAttempts\":1");
    m_first.behaviour = TargetBehaviour::Silent;
    m_first.weightsVersion = 1;
    list(m_first);
    start(state);
    int status = 0;
    http::RequestHead head = request("/events/x");
    head.headers.set("X-Ibislock-Deadline-Ms", "5000");
    const auto waiting = m_client.send("127.0.0.1", m_daemon.callerPort(), writeRequest(head, Deadly), {},
                                       {.head = [&](const http::ResponseHead &answer) {
                                           status = answer.status;
                                           return net::HeadDecision::Accept;
                                       }});
    runFor(Pause);
    ASSERT_EQ(m_first.requests.size(), 1U);
    list(m_first, /*leaving=*/true);
    for (int n = 0; n < CrashesUntilRequestIsKnown; ++n) {
        EXPECT_EQ(status, 0);
        listEngines(1);
        waitUntilRead(*m_engines.back());
        runFor(Pause);
        call(request("/events/x"), Deadly);
        unlistCrashed();
        runFor(Pause);
    }
    runFor(Millis{500});
    EXPECT_EQ(status, 502);
    EXPECT_EQ(m_first.open, 0);
    EXPECT_EQ(crashes(), CrashesUntilRequestIsKnown);
}

/// A route to plain targets, and what these do.
struct PlainRoute
{
    std::string name;
    TargetBehaviour behaviour = TargetBehaviour::AnswerUnlessCrashing;
};

class FrontPlainQuarantineTest : public FrontQuarantineTest, public testing::WithParamInterface<PlainRoute>
{
};

TEST_P(FrontPlainQuarantineTest, RequestThatCrashesPlainTargetsIsNotSentOn)
{
    constexpr int Rounds = 12;
    const std::string path = "/" + GetParam().name + "/x";
    startPlainTargets(12, GetParam().behaviour);
    CallerAnswer last;
    for (int n = 0; n < Rounds; ++n) {
        last = call(request(path), Deadly);
        unlistCrashed();
        EXPECT_EQ(call(request(path), "sound").status, 200) << n;
        runFor(Pause);
    }
    EXPECT_LE(crashes(), CrashesUntilRequestIsKnown + SendsAfterwards);
    EXPECT_EQ(last.status, 503);
    EXPECT_TRUE(last.headers.find("Retry-After"));
}

INSTANTIATE_TEST_SUITE_P(Routes, FrontPlainQuarantineTest,
                         testing::Values(PlainRoute{"once"}, PlainRoute{"often"},
                                         PlainRoute{"fixed", TargetBehaviour::StreamUnlessCrashing}),
                         [](const auto &item) { return item.param.name; });

// The same body at another path is another request.
TEST_F(FrontQuarantineTest, RequestsThatDifferFromACrashingOneInTheirPathAreServed)
{
    constexpr int Rounds = 6;
    startPlainTargets(12);
    for (int n = 0; n < Rounds; ++n) {
        call(request("/often/x"), Deadly);
        unlistCrashed();
        runFor(Pause);
    }
    for (const auto &target : m_engines) {
        target->crashingBody = "none";
    }
    EXPECT_EQ(call(request("/often/x"), Deadly).status, 503);
    EXPECT_EQ(call(request("/often/y"), Deadly).status, 200);
    EXPECT_EQ(call(request("/open/x", ""), Deadly).status, 200);
}

// Three targets of one domain lose power while each of them runs a request that many callers send.
TEST_F(FrontQuarantineTest, OftenAnsweredRequestIsServedAfterTargetsCrashedTogether)
{
    startPlainTargets(3, TargetBehaviour::Answer);
    ASSERT_EQ(call(request("/once/x")).status, 200);
    for (const auto &target : m_engines) {
        target->behaviour = TargetBehaviour::Silent;
    }
    std::vector<std::shared_ptr<net::Exchange>> waiting;
    const auto allRun = [this] {
        return std::all_of(m_engines.begin(), m_engines.end(),
                           [](const auto &target) { return target->open > 0 && !target->requests.empty(); });
    };
    for (int n = 0; n < 12; ++n) {
        waiting.push_back(
            m_client.send("127.0.0.1", m_daemon.callerPort(), writeRequest(request("/once/x"), "body"), {}, {}));
        runFor(Millis{5});
    }
    ASSERT_TRUE(allRun());
    for (const auto &target : m_engines) {
        list(*target, /*leaving=*/true);
    }
    m_engines.clear();
    m_engines.push_back(std::make_unique<lab::TargetStandIn>(m_loop, "t-new"));
    list(*m_engines.back());
    runFor(Millis{600});
    EXPECT_EQ(call(request("/once/x"), "another").status, 200);
    EXPECT_EQ(call(request("/once/x")).status, 200);
}

// A target that answers has not crashed, whatever it answers.
TEST_F(FrontQuarantineTest, PlainRequestThatIsAnsweredWithAnErrorIsNotSuspected)
{
    startPlainTargets(8);
    for (int n = 0; n < 6; ++n) {
        EXPECT_EQ(call(request("/once/x"), Deadly).status, 502) << n;
        unlistCrashed();
        runFor(Pause);
        if (n % 2 == 1) {
            for (const auto &target : m_engines) {
                target->behaviour = TargetBehaviour::NotFound;
            }
            EXPECT_EQ(call(request("/once/x"), Deadly).status, 404) << n;
            for (const auto &target : m_engines) {
                target->behaviour = TargetBehaviour::AnswerUnlessCrashing;
            }
        }
    }
}

/// Returns the value of a field of a log line; empty if the line has no such field.
std::string fieldOf(const std::string &line, const std::string &name)
{
    const std::size_t at = line.find(" " + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 2;
    return line.substr(begin, line.find(' ', begin) - begin);
}

TEST_F(FrontTest, LogsTheSameDigestForEachAttemptOfARequest)
{
    list(m_first);
    start();
    lab::LogCapture log;
    const http::RequestHead head = request("/often/x");
    call(head, "one");
    http::RequestHead again = request("/often/x");
    again.headers.set("X-Ibislock-Deadline-Ms", "900");
    again.headers.add("Last-Event-Id", "3");
    call(again, "one");
    call(request("/often/x"), "two");
    call(request("/often/y"), "one");
    const auto lines = log.take("A request was answered.");
    ASSERT_EQ(lines.size(), 4U);
    const std::string digest = fieldOf(lines[0], "request");
    EXPECT_FALSE(digest.empty());
    EXPECT_EQ(fieldOf(lines[1], "request"), digest);
    EXPECT_NE(fieldOf(lines[2], "request"), digest);
    EXPECT_NE(fieldOf(lines[3], "request"), digest);
}

// All requests that a target had when it crashed can be collected by target and incarnation, and those that it had
// begun to answer can be told from the others.
TEST_F(FrontTest, LogsWhichRequestsATargetHadWhenItsConnectionBroke)
{
    m_first.behaviour = TargetBehaviour::CloseUnanswered;
    list(m_first);
    start();
    lab::LogCapture log;
    const CallerAnswer answer = call(request("/once/x"));
    EXPECT_EQ(answer.status, 502);
    const auto attempts = log.take("A request attempt failed.");
    ASSERT_EQ(attempts.size(), 1U);
    EXPECT_EQ(fieldOf(attempts[0], "target"), m_first.id);
    EXPECT_FALSE(fieldOf(attempts[0], "incarnation").empty());
    EXPECT_FALSE(fieldOf(attempts[0], "request").empty());
    EXPECT_EQ(fieldOf(attempts[0], "framing"), "none");
    EXPECT_EQ(attempts[0].find("key"), std::string::npos);
}

} // namespace

} // namespace ibislock::front
