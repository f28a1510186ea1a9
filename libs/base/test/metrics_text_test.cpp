#include "ibislock/base/metrics_text.h"

#include <gtest/gtest.h>

namespace ibislock
{

namespace
{

TEST(MetricsTextTest, WritesHelpAndTypeBeforeTheValue)
{
    std::string out;
    writeCounter(out, "a_total", "Things.", 3);
    writeGauge(out, "b", "Level.", -1);
    writeLabelled(out, "c", "of", "x", 2);
    EXPECT_EQ(out,
              "# HELP a_total Things.\n# TYPE a_total counter\na_total 3\n"
              "# HELP b Level.\n# TYPE b gauge\nb -1\n"
              "c{of=\"x\"} 2\n");
}

TEST(MetricsTextTest, ReadsTheResidentMemoryOfTheProcess)
{
    const auto bytes = residentBytes();
    ASSERT_TRUE(bytes);
    EXPECT_GT(*bytes, 100000U);
}

} // namespace

} // namespace ibislock
