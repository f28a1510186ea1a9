#include "report/axis.h"
#include "report/markdown.h"
#include "report/report_command.h"
#include "report/svg.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace ibislock::lab
{

namespace
{

constexpr const char *Lines = R"({"n": 10, "policy": "a", "load": {"p95": 4}}
{"n": 10, "policy": "a", "load": {"p95": 8}}
{"n": 100, "policy": "b|c", "load": {"p95": 40}}

{"n": 100, "policy": "a"}
)";

TEST(ReportTest, TakesTheMedianOfRunsAndCountsLinesWithoutAField)
{
    const auto chart = chartFrom(Lines, {.x = "n", .y = "load.p95", .series = "policy"});
    ASSERT_TRUE(chart) << chart.error().message;
    EXPECT_EQ(chart->skippedLines, 1U);
    EXPECT_EQ(chart->series.at("a")[0].median, 6);
    EXPECT_EQ(chart->series.at("a")[0].high, 8);
}

TEST(ReportTest, WritesOneRowForEachPlaceAndOneColumnForEachSeries)
{
    const auto chart = chartFrom(Lines, {.x = "n", .y = "load.p95", .series = "policy"});
    ASSERT_TRUE(chart) << chart.error().message;
    EXPECT_EQ(markdownOf(*chart),
              "| n | load.p95, a | load.p95, b\\|c |\n| --- | --- | --- |\n"
              "| 10 | 6 (4 to 8, 2 runs) |  |\n| 100 |  | 40 |\n");
}

TEST(ReportTest, KeepsTheOrderOfNamedPlaces)
{
    const auto chart = chartFrom("{\"x\": \"tenth\", \"y\": 1}\n{\"x\": \"all\", \"y\": 2.5}", {.x = "x", .y = "y"});
    ASSERT_TRUE(chart) << chart.error().message;
    EXPECT_EQ(markdownOf(*chart), "| x | y |\n| --- | --- |\n| tenth | 1 |\n| all | 2.5 |\n");
}

TEST(ReportTest, RefusesALineThatIsNotJson)
{
    const auto chart = chartFrom("{\"x\": 1, \"y\": 1}\nnot json", {.x = "x", .y = "y"});
    ASSERT_FALSE(chart);
    EXPECT_EQ(chart.error().message, "line 2 is not a JSON object");
}

TEST(ReportTest, RefusesFieldsThatNoLineHas)
{
    EXPECT_FALSE(chartFrom("{\"x\": 1}", {.x = "x", .y = "absent"}));
}

TEST(ReportTest, DrawsALineALegendAndEscapedNames)
{
    const auto chart = chartFrom(R"({"n": 1, "s": "<a&b>", "y": 1}
{"n": 2, "s": "other", "y": 1000})",
                                 {.x = "n", .y = "y", .series = "s"});
    ASSERT_TRUE(chart) << chart.error().message;
    const std::string svg = svgOf(*chart, {.title = "A \"title\"", .logY = true});
    EXPECT_NE(svg.find("&lt;a&amp;b&gt;"), std::string::npos) << svg;
    EXPECT_NE(svg.find("A &quot;title&quot;"), std::string::npos) << svg;
    EXPECT_NE(svg.find("<polyline"), std::string::npos) << svg;
    EXPECT_EQ(svg.find("nan"), std::string::npos) << svg;
}

class ReportCommandTest : public testing::Test
{
protected:
    ReportCommandTest()
    {
        std::filesystem::create_directories(m_directory);
        std::ofstream(m_directory + "/runs.jsonl") << Lines;
    }

    ~ReportCommandTest() override
    {
        std::filesystem::remove_all(m_directory);
    }

    int runWith(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), {"report", m_directory + "/runs.jsonl"});
        std::vector<char *> argv;
        for (std::string &argument : arguments) {
            argv.push_back(argument.data());
        }
        return runReport(static_cast<int>(argv.size()), argv.data());
    }

    std::string m_directory = testing::TempDir() + "/ibislock-report-" + std::to_string(getpid());
};

TEST_F(ReportCommandTest, WritesThePlotAndTheTable)
{
    const std::string svg = m_directory + "/plot.svg";
    const std::string table = m_directory + "/table.md";
    EXPECT_EQ(runWith({"-x", "n", "-y", "load.p95", "--series", "policy", "--svg", svg, "--markdown", table}), 0);
    EXPECT_GT(std::filesystem::file_size(svg), 0U);
    EXPECT_GT(std::filesystem::file_size(table), 0U);
}

TEST_F(ReportCommandTest, FailsWhereAFileCanNotBeWritten)
{
    EXPECT_EQ(runWith({"-x", "n", "-y", "load.p95", "--svg", m_directory + "/absent/plot.svg"}), 1);
}

TEST_F(ReportCommandTest, RequiresBothFields)
{
    EXPECT_EQ(runWith({"-x", "n"}), 2);
}

TEST(AxisTest, HasRoundTicksThatCoverTheValues)
{
    EXPECT_EQ(makeAxis(3, 93, ScaleKind::Linear).ticks, (std::vector<double>{0, 20, 40, 60, 80, 100}));
    EXPECT_EQ(makeAxis(3, 93, ScaleKind::Logarithmic).ticks, (std::vector<double>{1, 10, 100}));
}

TEST(AxisTest, PlacesValuesOnALogarithmicScale)
{
    EXPECT_DOUBLE_EQ(positionOf(makeAxis(1, 100, ScaleKind::Logarithmic), 10), 0.5);
}

TEST(AxisTest, FallsBackToALinearScaleForZero)
{
    EXPECT_EQ(makeAxis(0, 10, ScaleKind::Logarithmic).kind, ScaleKind::Linear);
}

TEST(AxisTest, SpansAValueThatDoesNotVary)
{
    const Axis axis = makeAxis(0, 0, ScaleKind::Linear);
    EXPECT_LT(axis.low, axis.high);
}

} // namespace

} // namespace ibislock::lab
