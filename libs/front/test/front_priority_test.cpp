// Priorities of requests on their way to engines.

#include "front_fixture.h"

namespace ibislock::front
{

namespace
{

/// A second route to the engines, less urgent than "events".
const std::string LessUrgentRoute =
    R"({"Name":"later","Host":"h","PathPrefix":"/later/","Kind":"streaming","TimeoutMs":6000,"Service":"s",)"
    R"("MaxAttempts":2,"ResumeStreams":true,"Priority":2},)";

// Guards against engines that admit requests in the order of arrival although routes differ in priority, and against a
// caller that chooses its priority itself.
TEST_F(FrontTest, EnginesGetThePriorityOfTheRouteWhereRoutesDiffer)
{
    m_first.behaviour = TargetBehaviour::Stream;
    m_first.weightsVersion = 3;
    list(m_first);
    std::string state = EngineState;
    state.insert(state.find(R"({"Name":"events")"), LessUrgentRoute);
    start(state);
    call(request("/events/x"));
    http::RequestHead head = request("/later/x");
    head.headers.add("X-Ibislock-Request-Priority", "0");
    call(head);
    ASSERT_EQ(m_first.requests.size(), 2U);
    EXPECT_EQ(m_first.requests[0].headers.find("X-Ibislock-Request-Priority"), "0");
    EXPECT_EQ(m_first.requests[1].headers.find("X-Ibislock-Request-Priority"), "1");
}

// Guards against a changed order inside the engines of deployments whose routes have one priority.
TEST_F(FrontTest, EnginesGetNoPriorityWhereRoutesHaveOne)
{
    m_first.behaviour = TargetBehaviour::Stream;
    m_first.weightsVersion = 3;
    list(m_first);
    start(EngineState);
    call(request("/events/x"));
    ASSERT_EQ(m_first.requests.size(), 1U);
    EXPECT_FALSE(m_first.requests[0].headers.find("X-Ibislock-Request-Priority"));
}

} // namespace

} // namespace ibislock::front
