// Responses of targets whose status is no HTTP status.

#include "front_fixture.h"

#include "platform/log_capture.h"

namespace ibislock::front
{

namespace
{

/// A status as a target sends it.
struct OddStatusCase
{
    std::string name;
    std::string status;
};

class FrontStatusTest : public FrontTest, public testing::WithParamInterface<OddStatusCase>
{
protected:
    void SetUp() override
    {
        m_first.behaviour = TargetBehaviour::OddStatus;
        m_first.oddStatus = GetParam().status;
        list(m_first);
    }
};

// Guards against a status that is forwarded to the caller although it means nothing, and against a second run of a
// request that may have run.
TEST_P(FrontStatusTest, TheOutcomeOfARequestThatMayNotRunTwiceIsUnknown)
{
    m_second.behaviour = TargetBehaviour::OddStatus;
    m_second.oddStatus = GetParam().status;
    list(m_second);
    start();
    lab::LogCapture log;
    EXPECT_EQ(call(request("/once/x")).status, 502);
    EXPECT_EQ(runs(), 1U);
    const auto failed = log.take("A request attempt failed.");
    ASSERT_EQ(failed.size(), 1U);
    EXPECT_NE(failed[0].find("end=broken"), std::string::npos) << failed[0];
}

// Guards against such a response that counts as an answer of its target.
TEST_P(FrontStatusTest, ARequestThatMayRunTwiceIsAnsweredByAnotherTarget)
{
    list(m_second);
    start();
    for (int n = 0; n < 4; ++n) {
        for (const std::string path : {"/often/x", "/fixed/x"}) {
            const CallerAnswer answer = call(request(path));
            EXPECT_TRUE(answer.status == 200 || (path == "/fixed/x" && answer.status == 502)) << answer.status;
        }
    }
    EXPECT_EQ(m_first.open, 0); // Nothing more is read from such a connection.
}

INSTANTIATE_TEST_SUITE_P(Cases, FrontStatusTest,
                         testing::Values(OddStatusCase{"Zero", "000"}, OddStatusCase{"Below", "099"},
                                         OddStatusCase{"Above", "600"}, OddStatusCase{"Largest", "999"},
                                         OddStatusCase{"TwoDigits", "20"}, OddStatusCase{"FourDigits", "2000"},
                                         OddStatusCase{"LeadingZero", "0200"}, OddStatusCase{"Letters", "abc"}),
                         [](const auto &item) { return item.param.name; });

} // namespace

} // namespace ibislock::front
