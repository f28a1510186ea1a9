#include "ibislock/serving/announced_versions.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

TEST(NamedVersionsTest, AFollowingNamingDoesNotPutOffTheFirst)
{
    AnnouncedVersions versions;
    EXPECT_TRUE(recordAnnouncement(versions, 2, Millis{1000}));
    EXPECT_TRUE(recordAnnouncement(versions, 3, Millis{3000}));
    EXPECT_EQ(requiredVersion(versions, Millis{7999}, Millis{7000}), 0);
    EXPECT_EQ(requiredVersion(versions, Millis{8000}, Millis{7000}), 2);
    EXPECT_EQ(requiredVersion(versions, Millis{10000}, Millis{7000}), 3);
}

TEST(NamedVersionsTest, AnOlderNamingIsIgnored)
{
    AnnouncedVersions versions;
    recordAnnouncement(versions, 3, Millis{0});
    EXPECT_FALSE(recordAnnouncement(versions, 2, Millis{10}));
    EXPECT_FALSE(recordAnnouncement(versions, 3, Millis{10}));
    EXPECT_EQ(versions.size(), 1U);
}

// The load: an entry VM is added while two versions are on their way. It reads the second naming alone, and its peers
// tell the times of both.
TEST(NamedVersionsTest, AProcessThatStartsBehindTwoNamingsKeepsTheTimeOfTheFirst)
{
    constexpr Millis Time{7000};
    AnnouncedVersions peer;
    recordAnnouncement(peer, 2, Millis{1000});
    recordAnnouncement(peer, 3, Millis{4000});
    for (const Millis start : {Millis{5000}, Millis{9000}}) {
        AnnouncedVersions own;
        recordAnnouncement(own, 3, start - Time, AnnouncementTimeSource::Unknown);
        for (const AnnouncedVersion &named : announcementsToReport(peer, start, Time)) {
            applyAnnouncementTime(own, named.version, named.learntAt);
        }
        EXPECT_EQ(requiredVersion(own, Millis{7999}, Time), 0);
        EXPECT_EQ(requiredVersion(own, Millis{8000}, Time), 2);
        EXPECT_EQ(requiredVersion(own, Millis{11000}, Time), 3);
    }
}

TEST(NamedVersionsTest, NamingsThatPutNothingOutOfUseAreNotTold)
{
    constexpr Millis Time{7000};
    AnnouncedVersions versions;
    recordAnnouncement(versions, 2, Millis{1000});
    recordAnnouncement(versions, 3, Millis{4000});
    EXPECT_EQ(announcementsToReport(versions, Millis{9000}, Time).size(), 2U);
    EXPECT_EQ(announcementsToReport(versions, Millis{20000}, Time).size(), 1U);
    AnnouncedVersions unknown;
    recordAnnouncement(unknown, 2, Millis{0}, AnnouncementTimeSource::Unknown);
    EXPECT_TRUE(announcementsToReport(unknown, Millis{100}, Time).empty());
}

TEST(NamedVersionsTest, AfterARestartANamingCountsAsOldUntilItsTimeIsKnown)
{
    AnnouncedVersions versions;
    recordAnnouncement(versions, 2, Millis{10000} - Millis{7000}, AnnouncementTimeSource::Unknown);
    EXPECT_EQ(requiredVersion(versions, Millis{10000}, Millis{7000}), 2);
    applyAnnouncementTime(versions, 2, Millis{6000});
    EXPECT_EQ(requiredVersion(versions, Millis{10000}, Millis{7000}), 0);
    applyAnnouncementTime(versions, 2, Millis{9000}); // From a process that was cut off meanwhile.
    EXPECT_EQ(requiredVersion(versions, Millis{13000}, Millis{7000}), 2);
}

TEST(NamedVersionsTest, TheTimeToLoadCountsFromTheFirstVersionThatIsNotReached)
{
    AnnouncedVersions versions;
    recordAnnouncement(versions, 2, Millis{1000});
    recordAnnouncement(versions, 3, Millis{3000});
    EXPECT_EQ(oldestPendingAnnouncementTime(versions, 1), Millis{1000});
    EXPECT_EQ(oldestPendingAnnouncementTime(versions, 2), Millis{3000});
    EXPECT_EQ(oldestPendingAnnouncementTime(versions, 3), Millis{0});
}

} // namespace

} // namespace ibislock::serving
