#include "ibislock/serving/named_versions.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

TEST(NamedVersionsTest, AFollowingNamingDoesNotPutOffTheFirst)
{
    NamedVersions versions;
    EXPECT_TRUE(noteNamed(versions, 2, Millis{1000}));
    EXPECT_TRUE(noteNamed(versions, 3, Millis{3000}));
    EXPECT_EQ(requiredVersion(versions, Millis{7999}, Millis{7000}), 0);
    EXPECT_EQ(requiredVersion(versions, Millis{8000}, Millis{7000}), 2);
    EXPECT_EQ(requiredVersion(versions, Millis{10000}, Millis{7000}), 3);
}

TEST(NamedVersionsTest, AnOlderNamingIsIgnored)
{
    NamedVersions versions;
    noteNamed(versions, 3, Millis{0});
    EXPECT_FALSE(noteNamed(versions, 2, Millis{10}));
    EXPECT_FALSE(noteNamed(versions, 3, Millis{10}));
    EXPECT_EQ(versions.size(), 1U);
}

// The load: an entry VM is added while two versions are on their way. It reads the second naming alone, and its peers
// tell the times of both.
TEST(NamedVersionsTest, AProcessThatStartsBehindTwoNamingsKeepsTheTimeOfTheFirst)
{
    constexpr Millis Time{7000};
    NamedVersions peer;
    noteNamed(peer, 2, Millis{1000});
    noteNamed(peer, 3, Millis{4000});
    for (const Millis start : {Millis{5000}, Millis{9000}}) {
        NamedVersions own;
        noteNamed(own, 3, start - Time, NamingTime::Unknown);
        for (const NamedVersion &named : namingsToTell(peer, start, Time)) {
            correctTime(own, named.version, named.learntAt);
        }
        EXPECT_EQ(requiredVersion(own, Millis{7999}, Time), 0);
        EXPECT_EQ(requiredVersion(own, Millis{8000}, Time), 2);
        EXPECT_EQ(requiredVersion(own, Millis{11000}, Time), 3);
    }
}

TEST(NamedVersionsTest, NamingsThatPutNothingOutOfUseAreNotTold)
{
    constexpr Millis Time{7000};
    NamedVersions versions;
    noteNamed(versions, 2, Millis{1000});
    noteNamed(versions, 3, Millis{4000});
    EXPECT_EQ(namingsToTell(versions, Millis{9000}, Time).size(), 2U);
    EXPECT_EQ(namingsToTell(versions, Millis{20000}, Time).size(), 1U);
    NamedVersions unknown;
    noteNamed(unknown, 2, Millis{0}, NamingTime::Unknown);
    EXPECT_TRUE(namingsToTell(unknown, Millis{100}, Time).empty());
}

TEST(NamedVersionsTest, AfterARestartANamingCountsAsOldUntilItsTimeIsKnown)
{
    NamedVersions versions;
    noteNamed(versions, 2, Millis{10000} - Millis{7000}, NamingTime::Unknown);
    EXPECT_EQ(requiredVersion(versions, Millis{10000}, Millis{7000}), 2);
    correctTime(versions, 2, Millis{6000});
    EXPECT_EQ(requiredVersion(versions, Millis{10000}, Millis{7000}), 0);
    correctTime(versions, 2, Millis{9000}); // From a process that was cut off meanwhile.
    EXPECT_EQ(requiredVersion(versions, Millis{13000}, Millis{7000}), 2);
}

TEST(NamedVersionsTest, TheTimeToLoadCountsFromTheFirstVersionThatIsNotReached)
{
    NamedVersions versions;
    noteNamed(versions, 2, Millis{1000});
    noteNamed(versions, 3, Millis{3000});
    EXPECT_EQ(oldestUnreached(versions, 1), Millis{1000});
    EXPECT_EQ(oldestUnreached(versions, 2), Millis{3000});
    EXPECT_EQ(oldestUnreached(versions, 3), Millis{0});
}

} // namespace

} // namespace ibislock::serving
