#include "ibislock/serving/announced_versions.h"

#include <algorithm>

namespace ibislock::serving
{

bool recordAnnouncement(AnnouncedVersions &versions, std::int64_t version, Millis learntAt,
                        AnnouncementTimeSource timeSource)
{
    if (!versions.empty() && version <= versions.back().version) {
        return false;
    }
    versions.push_back({.version = version, .learntAt = learntAt, .timeSource = timeSource});
    return true;
}

void applyAnnouncementTime(AnnouncedVersions &versions, std::int64_t version, Millis learntAt)
{
    const auto it = std::lower_bound(versions.begin(), versions.end(), version,
                                     [](const AnnouncedVersion &announced, std::int64_t wantedVersion) {
                                         return announced.version < wantedVersion;
                                     });
    if (it == versions.end()) {
        return; // Only the store determines which version is the newest.
    }
    if (it->version != version) {
        versions.insert(it, {.version = version, .learntAt = learntAt, .timeSource = AnnouncementTimeSource::Reported});
        return;
    }
    if (it->timeSource == AnnouncementTimeSource::Unknown || learntAt < it->learntAt) {
        it->learntAt = learntAt;
        it->timeSource = AnnouncementTimeSource::Reported;
    }
}

AnnouncedVersions announcementsToReport(const AnnouncedVersions &versions, Millis now, Millis gracePeriod)
{
    AnnouncedVersions out;
    for (const AnnouncedVersion &announced : versions) {
        if (announced.timeSource == AnnouncementTimeSource::Unknown) {
            continue;
        }
        const bool inEffect = now >= announced.learntAt + gracePeriod;
        if (inEffect) {
            out.clear(); // This version has retired all before it, so their announcements are not needed.
        }
        out.push_back(announced);
    }
    return out;
}

std::int64_t requiredVersion(const AnnouncedVersions &versions, Millis now, Millis gracePeriod)
{
    std::int64_t required = 0;
    for (const AnnouncedVersion &announced : versions) {
        if (now >= announced.learntAt + gracePeriod) {
            required = announced.version;
        }
    }
    return required;
}

Millis oldestPendingAnnouncementTime(const AnnouncedVersions &versions, std::int64_t loaded)
{
    for (const AnnouncedVersion &announced : versions) {
        if (announced.version > loaded) {
            return announced.learntAt;
        }
    }
    return Millis{0};
}

} // namespace ibislock::serving
