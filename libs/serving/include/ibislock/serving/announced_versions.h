// Which versions of weights have been named, and from when on nothing may begin on older ones. Each naming has its own
// time, also when another follows before it is reached.
//
//     noteNamed(versions, 2, now);
//     requiredVersion(versions, now, Millis{7000});   // 0 until 7 s after the naming, then 2

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <vector>

namespace ibislock::serving
{

/// How the time of a naming is known.
enum class AnnouncementTimeSource {
    Unknown, ///< It was named before this process looked; the time that is kept is early.
    Reported, ///< Another process told it.
    Observed, ///< This process saw it happen.
};

/// A version and when it was learnt of.
struct AnnouncedVersion
{
    std::int64_t version = 0;
    Millis learntAt{0};
    AnnouncementTimeSource timeSource = AnnouncementTimeSource::Observed;
};

/// The versions of one model in their order.
using AnnouncedVersions = std::vector<AnnouncedVersion>;

/// Takes over a naming; one that is not newer than the last is ignored.
/// @param learntAt when it was learnt of; must be early if the time is unknown.
/// @return whether it is new.
bool recordAnnouncement(AnnouncedVersions &versions, std::int64_t version, Millis learntAt,
                        AnnouncementTimeSource time = AnnouncementTimeSource::Observed);

/// Takes over the time of a naming from another process. Of several, the earliest counts: a process may have been cut
/// off when the version was named. An older version than the newest may be new here: the store keeps only the last
/// naming of a model, and a process that starts behind it would let requests begin on what the one before has put out
/// of use.
void applyAnnouncementTime(AnnouncedVersions &versions, std::int64_t version, Millis learntAt);

/// The namings that another process needs to know what may begin: those whose time is not over, and the last one
/// before. Those of which the time is not known are left out.
/// @param time from a naming until older versions are out.
AnnouncedVersions announcementsToReport(const AnnouncedVersions &versions, Millis now, Millis time);

/// The oldest version on which something may begin.
/// @param time from a naming until older versions are out.
/// @return 0 while any may serve.
std::int64_t requiredVersion(const AnnouncedVersions &versions, Millis now, Millis time);

/// When the first version that is newer than a loaded one was learnt of.
/// @return that time; zero if there is none.
Millis oldestPendingAnnouncementTime(const AnnouncedVersions &versions, std::int64_t loaded);

} // namespace ibislock::serving
