// Requests that are restricted to regions, with real connections: they never reach a target outside.

#include "front_fixture.h"

#include "platform/log_capture.h"

namespace ibislock::front
{

namespace
{

/// A state whose routes and workspace may be restricted.
/// @param routeRegions, workspaceRegions JSON lists of regions.
std::string restrictedState(int version, const std::string &routeRegions, const std::string &workspaceRegions = "[]")
{
    return R"({"Version":)" + std::to_string(version)
        + R"(,"Routes":[{"Name":"events","Host":"h","PathPrefix":"/events/","Kind":"streaming","TimeoutMs":2000,)"
          R"("TargetLatencyMs":50,"Service":"s","MaxAttempts":3,"ResumeStreams":true,"AllowedRegions":)"
        + routeRegions
        + R"(},{"Name":"often","Host":"h","PathPrefix":"/often/","Kind":"idempotent","TimeoutMs":2000,)"
          R"("TargetLatencyMs":1600,"Service":"s","MaxAttempts":3,"AllowedRegions":)"
        + routeRegions + R"(}],"Services":[{"Name":"s","HealthPath":"/health","MaxConns":100}],)"
        + R"("Tenants":[{"Name":"w","ApiKeys":["key"],"AllowedRegions":)" + workspaceRegions + "}]}";
}

/// Number of requests of a test; they start at either of two targets.
constexpr int Requests = 8;

/// Two targets in region north, and one in region south.
class FrontResidencyTest : public FrontTest
{
protected:
    FrontResidencyTest()
    {
        m_outside.domain = "b";
    }

    void startWith(const std::string &state)
    {
        list(m_first);
        list(m_second);
        list(m_outside);
        start(state);
    }

    lab::TargetStandIn m_outside{m_loop, "i-3"};
};

// First attempts, retries after refusals, resumed streams and attempts beside a silent target.
class FrontResidencyFailureTest : public FrontResidencyTest, public testing::WithParamInterface<TargetBehaviour>
{
};

TEST_P(FrontResidencyFailureTest, NoAttemptReachesATargetOutside)
{
    m_first.behaviour = GetParam();
    m_second.behaviour = TargetBehaviour::Stream;
    m_outside.behaviour = TargetBehaviour::Stream;
    startWith(restrictedState(1, R"(["north"])"));
    for (int n = 0; n < Requests / 2; ++n) {
        EXPECT_EQ(call(request("/events/x")).status, 200);
    }
    EXPECT_GT(m_second.requests.size(), 0U);
    m_second.behaviour = GetParam();
    call(request("/events/x")); // Both targets fail; the one outside would not.
    EXPECT_TRUE(m_outside.requests.empty());
}

INSTANTIATE_TEST_SUITE_P(Cases, FrontResidencyFailureTest,
                         testing::Values(TargetBehaviour::Stream, TargetBehaviour::Refuse,
                                         TargetBehaviour::CloseUnanswered, TargetBehaviour::StreamCutOff,
                                         TargetBehaviour::StreamThenSilent, TargetBehaviour::Silent));

TEST_F(FrontResidencyTest, ARestrictedWorkspaceIsServedInItsRegionOnly)
{
    startWith(restrictedState(1, R"(["north","south"])", R"(["south"])"));
    for (int n = 0; n < Requests; ++n) {
        EXPECT_EQ(call(request("/often/x")).status, 200);
    }
    EXPECT_EQ(m_outside.requests.size(), static_cast<std::size_t>(Requests));
    EXPECT_EQ(runs(), 0U);
}

// Lists without a common region, and a region in which no target is listed.
TEST_F(FrontResidencyTest, ARequestWithoutAPermittedTargetIsRefusedAtOnceWithoutRetryAfter)
{
    startWith(restrictedState(1, R"(["north"])", R"(["south"])"));
    for (const char *cause : {"none", "east"}) {
        lab::LogCapture log;
        const CallerAnswer answer = call(request("/often/x"));
        EXPECT_EQ(answer.status, 503);
        EXPECT_FALSE(answer.headers.find("Retry-After"));
        const auto lines = log.take("A request was not served.");
        ASSERT_EQ(lines.size(), 1U);
        EXPECT_TRUE(lab::hasField(lines[0], "outcome", "refused_residency")) << lines[0];
        EXPECT_TRUE(lab::hasField(lines[0], "no_target", "not_permitted")) << lines[0];
        EXPECT_TRUE(lab::hasField(lines[0], "regions", cause)) << lines[0];
        m_store.append("config", restrictedState(2, R"(["east"])"));
        runFor(Millis{200});
    }
    EXPECT_EQ(runs() + m_outside.requests.size(), 0U);
}

TEST_F(FrontResidencyTest, ATargetInAPermittedRegionThatIsNotUsableIsRefusedWithRetryAfter)
{
    list(m_first, /*leaving=*/true);
    list(m_outside);
    start(restrictedState(1, R"(["north"])"));
    const CallerAnswer answer = call(request("/often/x"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.find("Retry-After"));
    EXPECT_TRUE(m_outside.requests.empty());
}

TEST_F(FrontResidencyTest, ADomainOfAnUnknownRegionIsNotPermitted)
{
    m_outside.domain = "unknown";
    list(m_outside);
    start(restrictedState(1, R"(["north","south"])"));
    EXPECT_EQ(call(request("/often/x")).status, 503);
    EXPECT_TRUE(m_outside.requests.empty());
}

// The restriction was copied with the route when a request arrived, and a waiting request went by the old one.
TEST_F(FrontResidencyTest, ANewStateRestrictsARequestThatWaits)
{
    m_outside.behaviour = TargetBehaviour::RefuseLate;
    list(m_outside);
    list(m_first);
    start(restrictedState(1, R"(["south"])"));
    const http::RequestHead head = request("/often/x");
    bool done = false;
    int status = 0;
    const auto exchange = m_client.send("127.0.0.1", m_daemon.callerPort(), writeRequest(head, "body"), {},
                                        {.head =
                                             [&](const http::ResponseHead &answer) {
                                                 status = answer.status;
                                                 return net::HeadDecision::Accept;
                                             },
                                         .body = [](const std::string &) {},
                                         .end =
                                             [&](const net::ExchangeResult &) {
                                                 done = true;
                                             }});
    runFor(Millis{50});
    m_store.append("config", restrictedState(2, R"(["north"])"));
    for (const Millis end = steadyMillis() + Millis{5000}; !done && steadyMillis() < end;) {
        m_loop.run_one_for(std::chrono::milliseconds(20));
    }
    EXPECT_EQ(status, 200);
    EXPECT_EQ(m_first.requests.size(), 1U) << "the second attempt went by the new state";
}

} // namespace

} // namespace ibislock::front
