#include "log_story.h"

#include <gtest/gtest.h>
#include <sstream>

namespace ibislock::app
{

namespace
{

TEST(LogStoryTest, PutsTheLinesOfSeveralProcessesInOrder)
{
    std::istringstream one("  1.2 front-2 1700000000200 info front: A request was answered. id=ab outcome=answered\n"
                           "1700000000150 info front: A request was answered. id=cd outcome=answered\n");
    std::istringstream two("1700000000100 info front: A send did not end in an answer. id=ab target=i-1 end=broken\n");
    LogStory story{.id = "ab", .lines = {}};
    addLines(story, one);
    addLines(story, two);
    const std::string text = tell(story);
    EXPECT_LT(text.find("A send did not"), text.find("A request was answered"));
    EXPECT_EQ(text.find("id=cd"), std::string::npos);
    EXPECT_NE(text.find("=> The target's whole answer"), std::string::npos);
}

TEST(LogStoryTest, SaysWhetherARequestRan)
{
    std::istringstream log("1700000000200 info front: A request was not served. id=ab outcome=outcome_unknown\n");
    LogStory story{.id = "ab", .lines = {}};
    addLines(story, log);
    EXPECT_NE(tell(story).find("=> Whether it ran is unknown"), std::string::npos);
}

TEST(LogStoryTest, AnUnknownIdIsSaid)
{
    EXPECT_NE(tell({.id = "x", .lines = {}}).find("No line has this id"), std::string::npos);
}

} // namespace

} // namespace ibislock::app
