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
    std::istringstream two("1700000000100 info front: A request attempt failed. id=ab target=i-1 end=broken\n");
    LogStory story{.id = "ab", .lines = {}};
    addLines(story, one);
    addLines(story, two);
    const std::string text = tell(story);
    EXPECT_LT(text.find("A request attempt failed."), text.find("A request was answered"));
    EXPECT_EQ(text.find("id=cd"), std::string::npos);
    EXPECT_NE(text.find("=> The target's complete response"), std::string::npos);
}

TEST(LogStoryTest, SaysWhetherARequestRan)
{
    std::istringstream log("1700000000200 info front: A request was not served. id=ab outcome=outcome_unknown\n");
    LogStory story{.id = "ab", .lines = {}};
    addLines(story, log);
    EXPECT_NE(tell(story).find("=> Whether it ran is unknown"), std::string::npos);
}

/// The lines of a request that is sent twice, as the entry VM writes them.
struct ResendCase
{
    std::string name;
    std::string firstEnd; ///< How the first send ended, in the fields of its line.
    std::string kind;
    std::string known;
    bool notConnectedButSent = false; ///< The sentence on it is expected.
    bool ranOnceAgain = false; ///< The same for a request that must run once.
};

class LogStoryResendTest : public testing::TestWithParam<ResendCase>
{
};

TEST_P(LogStoryResendTest, SaysWhichSendExplainsTwoRuns)
{
    const ResendCase &item = GetParam();
    std::istringstream log(
        "1700000000100 info front: A request attempt failed. id=ab target=i-1 " + item.firstEnd
        + " reused=0 after_ms=452\n1700000000100 info front: Retrying a request. id=ab kind=" + item.kind
        + " known=" + item.known + " sends=1 target=i-2 since_first_ms=452\n"
        + "1700000000110 info front: A request was answered. id=ab outcome=answered sends=2 target=i-2\n");
    LogStory story{.id = "ab", .lines = {}};
    addLines(story, log);
    const std::string text = tell(story);
    EXPECT_EQ(text.find("=> A send to i-1 ended as not connected although its connection had come about")
                  != std::string::npos,
              item.notConnectedButSent)
        << text;
    EXPECT_EQ(text.find("=> A request that must run once was sent again, to i-2, after a send that may have run.")
                  != std::string::npos,
              item.ranOnceAgain)
        << text;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, LogStoryResendTest,
    testing::Values(
        ResendCase{"NotConnected", "end=not_connected status=0 sends=1 connected=0", "non_idempotent", "unsent"},
        ResendCase{"NotExecuted", "end=complete status=503 sends=1 connected=1", "non_idempotent", "unsent"},
        ResendCase{"LostAndRepeatable", "end=broken status=0 sends=1 connected=1", "idempotent", "unknown"},
        ResendCase{"NotConnectedButSent", "end=not_connected status=0 sends=1 connected=1", "non_idempotent", "unsent",
                   true, true},
        ResendCase{"NotConnectedButSentAndRepeatable", "end=not_connected status=0 sends=1 connected=1", "idempotent",
                   "unsent", true, false},
        ResendCase{"LostAndMustRunOnce", "end=broken status=0 sends=1 connected=1", "non_idempotent", "unsent", false,
                   true},
        ResendCase{"UnsignedAndMustRunOnce", "end=complete status=0 sends=1 connected=1", "non_idempotent", "unsent",
                   false, true},
        ResendCase{"KnownAsMaybeRun", "end=not_connected status=0 sends=1 connected=0", "non_idempotent", "unknown",
                   false, true}),
    [](const auto &item) { return item.param.name; });

TEST(LogStoryTest, ALostSendDoesNotSpeakAgainstTheSecondSendsBeforeIt)
{
    // Lines of the same time keep the order of their file.
    std::istringstream log(
        "1700000000100 info front: Retrying a request. id=ab kind=non_idempotent known=unsent sends=1 target=i-2\n"
        "1700000000100 info front: A request attempt failed. id=ab target=i-2 end=broken status=0 sends=2 "
        "connected=1\n");
    LogStory story{.id = "ab", .lines = {}};
    addLines(story, log);
    EXPECT_EQ(tell(story).find("must run once was sent again"), std::string::npos);
}

TEST(LogStoryTest, AnUnknownIdIsSaid)
{
    EXPECT_NE(tell({.id = "x", .lines = {}}).find("No line has this id"), std::string::npos);
}

} // namespace

} // namespace ibislock::app
