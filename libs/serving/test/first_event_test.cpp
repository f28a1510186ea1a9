#include "ibislock/serving/first_event.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

// Guards against requests that are sent although their first event can't be on time: a long prompt counts in full.
TEST(FirstEventTest, IncludesPassesAndPrompts)
{
    const EngineSpec spec{.stepMs = 10, .promptTokensPerMs = 20, .typicalPromptTokens = 1000, .stepsPerPass = 5};
    EXPECT_EQ(expectedFirstEvent(spec, 1000), Millis{175});
    EXPECT_EQ(expectedFirstEvent(spec, 3000), Millis{275});
}

// Guards against plain services whose requests count as late before their objective has passed.
TEST(FirstEventTest, IsZeroWithoutFigures)
{
    EXPECT_EQ(expectedFirstEvent({}, 1000), Millis{0});
}

} // namespace

} // namespace ibislock::serving
