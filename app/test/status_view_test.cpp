#include "status_view.h"

#include <gtest/gtest.h>

namespace ibislock::app
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

TEST(StatusViewTest, DrawsTheShareOfABar)
{
    EXPECT_EQ(progressBar(0, 10), "[" + std::string(30, '.') + "]");
    EXPECT_EQ(progressBar(5, 10), "[" + std::string(15, '#') + std::string(15, '.') + "]");
    EXPECT_EQ(progressBar(12, 10), "[" + std::string(30, '#') + "]");
}

TEST(StatusViewTest, EstimatesTheTimeLeftFromTheReplicasThatCameToServe)
{
    RolloutEstimates estimates;
    EXPECT_EQ(estimates.timeLeft("a#1", 2, 10, milliseconds(0)), std::nullopt);
    EXPECT_EQ(estimates.timeLeft("a#1", 4, 10, milliseconds(1000)), milliseconds(3000));
    EXPECT_EQ(estimates.timeLeft("a#2", 4, 10, milliseconds(1000)), std::nullopt) << "another ticket starts anew";
}

TEST(StatusViewTest, MarksWhatIsStaleOrWasNeverHeardOf)
{
    const json status{
        {"vm", "entry1"},
        {"age_ms", 7000},
        {"stale", true},
        {"scopes", json::array()},
        {"domains", json::object()},
        {"vms", {{"t1", {{"age_ms", nullptr}, {"stale", true}}}, {"t2", {{"age_ms", 20}, {"stale", false}}}}}};
    RolloutEstimates estimates;
    const std::string text = describeStatus(status, estimates, milliseconds(0));
    EXPECT_NE(text.find("as of 7000 ms ago, STALE"), std::string::npos) << text;
    EXPECT_NE(text.find("never heard of"), std::string::npos) << text;
    EXPECT_NE(text.find("as of 20 ms ago\n"), std::string::npos) << text;
}

} // namespace

} // namespace ibislock::app
