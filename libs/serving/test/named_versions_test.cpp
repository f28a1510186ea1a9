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
