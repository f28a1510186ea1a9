#include "ibislock/base/start_steps.h"

#include <gtest/gtest.h>

namespace ibislock
{

namespace
{

TEST(StartStepsTest, KeepsTheFirstTimeOfAStep)
{
    StartSteps steps(Millis{1000});
    steps.reach(StartStep::Listings, Millis{1200}, LogComponent::Base);
    steps.reach(StartStep::Listings, Millis{9000}, LogComponent::Base);
    EXPECT_EQ(steps.reached(), (std::map<StartStep, Millis>{{StartStep::Listings, Millis{200}}}));
}

TEST(StartStepsTest, StepsThatAreNotReachedHaveNoMetric)
{
    StartSteps steps(Millis{1000});
    steps.reach(StartStep::DesiredState, Millis{1400}, LogComponent::Base);
    std::string out;
    writeStartMetrics(out, steps);
    EXPECT_NE(out.find("ibislock_start_ms{step=\"desired_state\"} 400\n"), std::string::npos) << out;
    EXPECT_EQ(out.find("listings"), std::string::npos) << out;
}

} // namespace

} // namespace ibislock
