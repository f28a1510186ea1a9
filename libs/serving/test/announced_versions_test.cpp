#include "ibislock/serving/announced_versions.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

TEST(AnnouncedVersionsTest, ALaterAnnouncementDoesNotPostponeTheFirst)
{
    AnnouncedVersions versions;
    EXPECT_TRUE(recordAnnouncement(versions, 2, Millis{1000}));
    EXPECT_TRUE(recordAnnouncement(versions, 3, Millis{3000}));
    EXPECT_EQ(requiredVersion(versions, Millis{7999}, Millis{7000}), 0);
    EXPECT_EQ(requiredVersion(versions, Millis{8000}, Millis{7000}), 2);
    EXPECT_EQ(requiredVersion(versions, Millis{10000}, Millis{7000}), 3);
}

TEST(AnnouncedVersionsTest, AnAnnouncementThatIsNotNewerIsIgnored)
{
    AnnouncedVersions versions;
    recordAnnouncement(versions, 3, Millis{0});
    EXPECT_FALSE(recordAnnouncement(versions, 2, Millis{10}));
    EXPECT_FALSE(recordAnnouncement(versions, 3, Millis{10}));
    EXPECT_EQ(versions.size(), 1U);
}

// An entry VM starts within the grace periods of two announcements. The store returns only the second one; peers report
// the times of both.
TEST(AnnouncedVersionsTest, AProcessThatStartsAfterTwoAnnouncementsAppliesTheTimeOfTheFirst)
{
    constexpr Millis GracePeriod{7000};
    AnnouncedVersions peer;
    recordAnnouncement(peer, 2, Millis{1000});
    recordAnnouncement(peer, 3, Millis{4000});
    for (const Millis start : {Millis{5000}, Millis{9000}}) {
        AnnouncedVersions own;
        recordAnnouncement(own, 3, start - GracePeriod, AnnouncementTimeSource::Unknown);
        for (const AnnouncedVersion &announced : announcementsToReport(peer, start, GracePeriod)) {
            applyAnnouncementTime(own, announced.version, announced.learntAt);
        }
        EXPECT_EQ(requiredVersion(own, Millis{7999}, GracePeriod), 0);
        EXPECT_EQ(requiredVersion(own, Millis{8000}, GracePeriod), 2);
        EXPECT_EQ(requiredVersion(own, Millis{11000}, GracePeriod), 3);
    }
}

TEST(AnnouncedVersionsTest, ReportsOnlyAnnouncementsThatRetireVersions)
{
    constexpr Millis GracePeriod{7000};
    AnnouncedVersions versions;
    recordAnnouncement(versions, 2, Millis{1000});
    recordAnnouncement(versions, 3, Millis{4000});
    EXPECT_EQ(announcementsToReport(versions, Millis{9000}, GracePeriod).size(), 2U);
    EXPECT_EQ(announcementsToReport(versions, Millis{20000}, GracePeriod).size(), 1U);
    AnnouncedVersions unknown;
    recordAnnouncement(unknown, 2, Millis{0}, AnnouncementTimeSource::Unknown);
    EXPECT_TRUE(announcementsToReport(unknown, Millis{100}, GracePeriod).empty());
}

TEST(AnnouncedVersionsTest, AfterARestartAnAnnouncementIsInEffectUntilItsTimeIsReported)
{
    AnnouncedVersions versions;
    recordAnnouncement(versions, 2, Millis{10000} - Millis{7000}, AnnouncementTimeSource::Unknown);
    EXPECT_EQ(requiredVersion(versions, Millis{10000}, Millis{7000}), 2);
    applyAnnouncementTime(versions, 2, Millis{6000});
    EXPECT_EQ(requiredVersion(versions, Millis{10000}, Millis{7000}), 0);
    applyAnnouncementTime(versions, 2, Millis{9000}); // Reported by a process that was partitioned meanwhile.
    EXPECT_EQ(requiredVersion(versions, Millis{13000}, Millis{7000}), 2);
}

// A process that stalled or was cut off reads an announcement long after it was made. Requests would then start on
// retired weights for as long as it was late.
TEST(AnnouncedVersionsTest, AnAnnouncementThatWasReadLateAppliesAtTheTimeThatOthersReport)
{
    constexpr Millis GracePeriod{7000};
    AnnouncedVersions versions;
    recordAnnouncement(versions, 2, Millis{4000});
    applyAnnouncementTime(versions, 2, Millis{5000}); // Reported by a process that read it later still.
    EXPECT_EQ(requiredVersion(versions, Millis{10999}, GracePeriod), 0);
    EXPECT_EQ(requiredVersion(versions, Millis{11000}, GracePeriod), 2);
    applyAnnouncementTime(versions, 2, Millis{1000});
    EXPECT_EQ(requiredVersion(versions, Millis{7999}, GracePeriod), 0);
    EXPECT_EQ(requiredVersion(versions, Millis{8000}, GracePeriod), 2);
}

TEST(AnnouncedVersionsTest, PendingTimeIsThatOfTheFirstVersionNotYetLoaded)
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
