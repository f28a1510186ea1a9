#include "ibislock/base/counters.h"
#include "ibislock/base/digest.h"
#include "ibislock/base/log.h"
#include "ibislock/base/random.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ibislock
{

namespace
{

TEST(DigestTest, MatchesTheStandardTestVector)
{
    EXPECT_EQ(toHex(sha256("abc")), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(DigestTest, HexRoundTripsForAnyContent)
{
    EXPECT_TRUE(rc::check([](const std::string &text) {
        const Digest digest = sha256(text);
        RC_ASSERT(digestFromHex(toHex(digest)) == digest);
    }));
}

TEST(DigestTest, RejectsAWrongLengthAndOtherCharacters)
{
    EXPECT_FALSE(digestFromHex("ab"));
    EXPECT_FALSE(digestFromHex(std::string(64, 'g')));
}

TEST(LogTest, QuotesValuesWithSpaces)
{
    EXPECT_EQ(formatLogLine(LogComponent::Target, "Version is serving.", {{"version", "1"}, {"reason", "a \"b\""}}),
              "target: Version is serving. version=1 reason=\"a \\\"b\\\"\"");
}

TEST(CountersTest, ExposesEveryCounterWithHelpAndType)
{
    Counters counters;
    counters.add(Counter::TicketsAccepted, 3);
    const std::string text = counters.exposition();
    EXPECT_NE(text.find("# TYPE ibislock_tickets_accepted_total counter\nibislock_tickets_accepted_total 3\n"),
              std::string::npos)
        << text;
}

TEST(RandomTest, JitterStaysWithinTheUpperHalf)
{
    Random random(1);
    for (int i = 0; i < 1000; ++i) {
        const Millis delay = jittered(random, Millis(100));
        EXPECT_GE(delay, Millis(50));
        EXPECT_LE(delay, Millis(100));
    }
}

} // namespace

} // namespace ibislock
