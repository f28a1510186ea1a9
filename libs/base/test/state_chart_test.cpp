#include "ibislock/base/state_chart.h"

#include <gtest/gtest.h>

namespace ibislock
{

namespace
{

constexpr const char *Door = R"([chart]
name = door
initial = closed
events = open, close
[state closed]
open = opened / ring
close = ignore
[state opened]
open = ignore
close = closed
)";

TEST(StateChartTest, StepsToNextStateWithAction)
{
    const auto chart = parseChart(Door);
    ASSERT_TRUE(chart) << chart.error().message;
    const Transition &transition = transitionOf(*chart, "closed", "open");
    EXPECT_EQ(transition.next, "opened");
    EXPECT_EQ(transition.action, "ring");
    EXPECT_EQ(transitionOf(*chart, "closed", "close").next, "closed");
}

/// A mistake that is made in a valid chart, and the text that the error message must contain.
struct InvalidChartCase
{
    const char *name;
    const char *find;
    const char *replace;
    const char *expected;
};

class InvalidChartTest : public testing::TestWithParam<InvalidChartCase>
{
};

TEST_P(InvalidChartTest, IsRejected)
{
    std::string text = Door;
    const std::string find = GetParam().find;
    text.replace(text.find(find), find.size(), GetParam().replace);
    const auto chart = parseChart(text);
    ASSERT_FALSE(chart);
    EXPECT_NE(chart.error().message.find(GetParam().expected), std::string::npos) << chart.error().message;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, InvalidChartTest,
    testing::Values(InvalidChartCase{"UnknownNextState", "opened / ring", "ajar", "line 6: unknown state ajar"},
                    InvalidChartCase{"UnknownEvent", "close = ignore", "slam = closed", "line 7: unknown event"},
                    InvalidChartCase{"UnhandledEvent", "close = ignore\n", "", "does not handle event close"},
                    InvalidChartCase{"Unreachable", "opened / ring", "closed", "can't be reached"},
                    InvalidChartCase{"HandledTwice", "close = ignore", "open = closed",
                                     "line 7: event open is handled twice"},
                    InvalidChartCase{"NoInitial", "initial = closed", "initial = shut", "initial state"}),
    [](const auto &it) { return it.param.name; });

TEST(StateChartTest, EveryEmbeddedChartIsValid)
{
    for (const std::string &name : embeddedChartNames()) {
        EXPECT_EQ(embeddedChart(name).name, name);
    }
}

} // namespace

} // namespace ibislock
