// The versions of weights that the operators have announced, and when each takes effect. An announced version takes
// effect after a grace period; from then on, no request may start on older versions. Each announcement keeps its own
// time, also when another follows within its grace period.
//
//     recordAnnouncement(versions, 2, now);
//     requiredVersion(versions, now, Millis{7000});   // 0 until 7 s after the announcement, then 2

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <vector>

namespace ibislock::serving
{

/// How the time of an announcement is known.
enum class AnnouncementTimeSource {
    Unknown, ///< The announcement precedes this process; the time that is kept is earlier than the real one.
    Reported, ///< Another process reported the time.
    Observed, ///< This process observed the announcement.
};

/// An announced version and when it was learnt of.
struct AnnouncedVersion
{
    std::int64_t version = 0;
    Millis learntAt{0};
    AnnouncementTimeSource timeSource = AnnouncementTimeSource::Observed;
};

/// The announced versions of one model in ascending order.
using AnnouncedVersions = std::vector<AnnouncedVersion>;

/// Records an announcement; one that is not newer than the last is ignored.
/// @param learntAt when it was learnt of; must not be later than the real time if that is unknown.
/// @return whether the version is new.
bool recordAnnouncement(AnnouncedVersions &versions, std::int64_t version, Millis learntAt,
                        AnnouncementTimeSource timeSource = AnnouncementTimeSource::Observed);

/// Applies the time of an announcement that another process reported. Of the reported times and the time at which this
/// process observed it, the earliest counts: a process may have stalled or been partitioned when the version was
/// announced. A version that is older than the newest is
/// inserted if it is not known yet: the store keeps only the last announcement of a model, and a process that starts
/// after it would otherwise let requests start on versions that the previous announcement has retired.
void applyAnnouncementTime(AnnouncedVersions &versions, std::int64_t version, Millis learntAt);

/// Returns the announcements that another process needs in order to decide which versions are retired: those within
/// their grace period and the last one before them. Announcements whose time is unknown are left out.
/// @param gracePeriod from an announcement until older versions are retired.
AnnouncedVersions announcementsToReport(const AnnouncedVersions &versions, Millis now, Millis gracePeriod);

/// Returns the oldest version on which a request may start.
/// @param gracePeriod from an announcement until older versions are retired.
/// @return the version; 0 while any version may serve.
std::int64_t requiredVersion(const AnnouncedVersions &versions, Millis now, Millis gracePeriod);

/// Returns when the first version that is newer than the loaded one was learnt of.
/// @return the time; zero if no newer version is announced.
Millis oldestPendingAnnouncementTime(const AnnouncedVersions &versions, std::int64_t loaded);

} // namespace ibislock::serving
