// What happens to a request while the connection to its target is being established.

#include "front_fixture.h"
#include "full_listener.h"

namespace ibislock::front
{

namespace
{

/// Time limit of a request and of its connection; longer than the system takes for five retransmissions.
constexpr Millis TimeLimit{20000};

/// The key of the evacuation of the domain in which the target that connects slowly is.
const std::string Evacuation = "evacuate/b";

const std::string NewState = "A new desired state is in effect.";
const std::string ChangedListing = "A target's listing changed.";

/// A state whose routes are restricted to regions.
/// @param regions JSON list of regions.
std::string stateFor(int version, const std::string &regions)
{
    const std::string common = R"("TimeoutMs":20000,"TargetLatencyMs":10000,"Service":"s","AllowedRegions":)" + regions;
    return R"({"Version":)" + std::to_string(version)
        + R"(,"Routes":[{"Name":"often","Host":"h","PathPrefix":"/often/","Kind":"idempotent","MaxAttempts":2,)"
        + common
        + R"(},{"Name":"events","Host":"h","PathPrefix":"/events/","Kind":"streaming","MaxAttempts":2,)"
          R"("ResumeStreams":true,)"
        + common + R"(},{"Name":"once","Host":"h","PathPrefix":"/once/","Kind":"non_idempotent","MaxAttempts":1,)"
        + common
        + R"(}],"Services":[{"Name":"s","HealthPath":"/health","MaxConns":100}],)"
          R"("Tenants":[{"Name":"w","ApiKeys":["key"]}]})";
}

/// The target "i-3" in region south, which connects slowly. The others are in region north.
class FrontConnectingTest : public FrontTest
{
protected:
    FrontConnectingTest()
        : FrontTest(0, {.randomSeed = RandomSeed, .connectTimeout = TimeLimit, .startsWithOthers = false})
    {
        m_slow.domain = "b";
    }

    /// Starts with the slow target alone, so that the request is sent there.
    void startWith(const std::string &state)
    {
        m_store.append(m_slow.id, slowListing());
        start(state);
    }

    std::string slowListing(bool leaving = false) const
    {
        std::string out = m_slow.listing("s", leaving);
        const std::string port = ":" + std::to_string(m_slow.port());
        return out.replace(out.find(port), port.size(), ":" + std::to_string(m_gate.port()));
    }

    http::RequestHead patientRequest(const std::string &path)
    {
        http::RequestHead out = request(path);
        out.headers.set("X-Ibislock-Deadline-Ms", std::to_string(TimeLimit.count()));
        return out;
    }

    /// Runs the loop until a condition holds.
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        for (const Millis end = steadyMillis() + TimeLimit; !condition() && steadyMillis() < end;) {
            m_loop.run_one_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    /// Begins a call, which waits for its connection to the slow target.
    std::shared_ptr<PendingCall> beginAtSlowTarget(const std::string &path)
    {
        const auto out = begin(patientRequest(path));
        runFor(Millis{50});
        EXPECT_FALSE(out->done);
        return out;
    }

    /// Lets the connection be established, and ends the call.
    void connectAndFinish(const PendingCall &call)
    {
        m_gate.makeRoom();
        EXPECT_TRUE(runUntil([&] { return m_gate.hasAccepted() && call.done; }));
        runFor(Millis{30}); // Bytes in transit arrive.
    }

    lab::TargetStandIn m_slow{m_loop, "i-3"};
    FullListener m_gate{m_loop};
};

TEST_F(FrontConnectingTest, ARequestIsSentAsSoonAsItsTargetHasConnected)
{
    startWith(stateFor(1, R"(["south"])"));
    const auto call = beginAtSlowTarget("/often/x");
    m_gate.makeRoom();
    EXPECT_TRUE(runUntil([&] { return !m_gate.received().empty(); }));
    call->exchange->cancel();
}

// The next attempt of a stream that was cut off went to a domain that was evacuated while it connected.
TEST_F(FrontConnectingTest, AStreamThatIsResumedIsNotSentToADomainThatIsEvacuatedMeanwhile)
{
    m_first.behaviour = TargetBehaviour::StreamCutOff;
    m_second.behaviour = TargetBehaviour::Stream;
    list(m_first);
    startWith(stateFor(1, "[]"));
    const auto call = beginAtSlowTarget("/events/x");
    EXPECT_EQ(m_first.requests.size(), 1U);
    list(m_second);
    m_store.append(Evacuation, "{}");
    ASSERT_TRUE(waitForLine("The evacuation of a failure domain has begun."));
    connectAndFinish(*call);
    EXPECT_EQ(m_gate.received(), "");
    EXPECT_TRUE(call->answer.whole);
    ASSERT_EQ(m_second.requests.size(), 1U);
    EXPECT_TRUE(m_second.requests[0].headers.find("Last-Event-Id"));
}

class FrontConnectingKindTest : public FrontConnectingTest, public testing::WithParamInterface<std::string>
{
};

// The restriction was applied when the target was chosen, and the request went out when its connection was established.
TEST_P(FrontConnectingKindTest, ARequestThatConnectsIsNotSentOutsideTheRegionsOfANewState)
{
    startWith(stateFor(1, R"(["south"])"));
    listAndWait(m_first);
    const auto call = beginAtSlowTarget(GetParam());
    m_store.append("config", stateFor(2, R"(["north"])"));
    ASSERT_TRUE(waitForLine(NewState));
    connectAndFinish(*call);
    EXPECT_EQ(m_gate.received(), "");
    EXPECT_EQ(call->answer.body, "from i-1");
}

// As above, without a target that is permitted.
TEST_P(FrontConnectingKindTest, ARequestThatConnectsIsRefusedIfANewStatePermitsNoTarget)
{
    startWith(stateFor(1, R"(["south"])"));
    const auto call = beginAtSlowTarget(GetParam());
    m_store.append("config", stateFor(2, R"(["north"])"));
    ASSERT_TRUE(waitForLine(NewState));
    connectAndFinish(*call);
    EXPECT_EQ(m_gate.received(), "");
    EXPECT_EQ(call->answer.status, 503);
    EXPECT_FALSE(call->answer.headers.find("Retry-After"));
}

// As above, with a domain that is evacuated.
TEST_P(FrontConnectingKindTest, ARequestThatConnectsIsNotSentToADomainThatIsEvacuatedMeanwhile)
{
    startWith(stateFor(1, "[]"));
    const auto call = beginAtSlowTarget(GetParam());
    m_store.append(Evacuation, "{}");
    ASSERT_TRUE(waitForLine("The evacuation of a failure domain has begun."));
    connectAndFinish(*call);
    EXPECT_EQ(m_gate.received(), "");
    EXPECT_EQ(call->answer.status, 503);
    EXPECT_TRUE(call->answer.headers.find("Retry-After"));
}

// As above, with a listing by which the target is in another domain.
TEST_P(FrontConnectingKindTest, ARequestThatConnectsIsNotSentToATargetThatIsListedInAnotherRegionMeanwhile)
{
    startWith(stateFor(1, R"(["south"])"));
    const auto call = beginAtSlowTarget(GetParam());
    m_slow.domain = "a";
    m_slow.startedAt = 1000;
    m_store.append(m_slow.id, slowListing());
    ASSERT_TRUE(waitForLine(ChangedListing));
    connectAndFinish(*call);
    EXPECT_EQ(m_gate.received(), "");
    EXPECT_EQ(call->answer.status, 503);
}

// As above, with an address that is listed in another region as well.
TEST_P(FrontConnectingKindTest, ARequestThatConnectsIsNotSentToAnAddressThatIsListedInAnotherRegionMeanwhile)
{
    startWith(stateFor(1, R"(["south"])"));
    const auto call = beginAtSlowTarget(GetParam());
    m_slow.domain = "a";
    m_store.append("i-4", slowListing());
    ASSERT_TRUE(waitForLine(ChangedListing));
    connectAndFinish(*call);
    EXPECT_EQ(m_gate.received(), "");
    EXPECT_EQ(call->answer.status, 503);
}

// As above, with a listing that was removed, behind which the address may be used again.
TEST_P(FrontConnectingKindTest, ARequestThatConnectsIsNotSentToATargetThatIsNotListedAnyMore)
{
    startWith(stateFor(1, R"(["south"])"));
    const auto call = beginAtSlowTarget(GetParam());
    m_store.append(m_slow.id, "");
    ASSERT_TRUE(waitForLine("A target's listing was removed."));
    connectAndFinish(*call);
    EXPECT_EQ(m_gate.received(), "");
    EXPECT_EQ(call->answer.status, 503);
}

// A target whose listing said meanwhile that it is draining got the request all the same.
TEST_P(FrontConnectingKindTest, ARequestThatConnectsIsNotSentToATargetThatIsDrainingByNow)
{
    startWith(stateFor(1, "[]"));
    const auto call = beginAtSlowTarget(GetParam());
    m_store.append(m_slow.id, slowListing(/*leaving=*/true));
    ASSERT_TRUE(waitForLine("A target's listing changed."));
    connectAndFinish(*call);
    EXPECT_EQ(m_gate.received(), "");
    EXPECT_EQ(call->answer.status, 503);
}

INSTANTIATE_TEST_SUITE_P(Kinds, FrontConnectingKindTest, testing::Values("/often/x", "/once/x"));

} // namespace

} // namespace ibislock::front
