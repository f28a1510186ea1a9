#include "ibislock/serving/announced_versions.h"

#include <algorithm>

namespace ibislock::serving
{

bool recordAnnouncement(AnnouncedVersions &versions, std::int64_t version, Millis learntAt, AnnouncementTimeSource time)
{
    if (!versions.empty() && version <= versions.back().version) {
        return false;
    }
    versions.push_back({.version = version, .learntAt = learntAt, .timeSource = time});
    return true;
}

void applyAnnouncementTime(AnnouncedVersions &versions, std::int64_t version, Millis learntAt)
{
    const auto it =
        std::lower_bound(versions.begin(), versions.end(), version,
                         [](const AnnouncedVersion &named, std::int64_t wanted) { return named.version < wanted; });
    if (it == versions.end()) {
        return; // Only the store tells what is newest.
    }
    if (it->version != version) {
        versions.insert(it, {.version = version, .learntAt = learntAt, .timeSource = AnnouncementTimeSource::Reported});
        return;
    }
    if (it->timeSource == AnnouncementTimeSource::Observed) {
        return;
    }
    const bool first = it->timeSource == AnnouncementTimeSource::Unknown;
    it->learntAt = first ? learntAt : std::min(it->learntAt, learntAt);
    it->timeSource = AnnouncementTimeSource::Reported;
}

AnnouncedVersions announcementsToReport(const AnnouncedVersions &versions, Millis now, Millis time)
{
    AnnouncedVersions out;
    for (const AnnouncedVersion &named : versions) {
        if (named.timeSource == AnnouncementTimeSource::Unknown) {
            continue;
        }
        const bool over = now >= named.learntAt + time;
        if (over) {
            out.clear(); // The next one makes the one before needless.
        }
        out.push_back(named);
    }
    return out;
}

std::int64_t requiredVersion(const AnnouncedVersions &versions, Millis now, Millis time)
{
    std::int64_t required = 0;
    for (const AnnouncedVersion &named : versions) {
        if (now >= named.learntAt + time) {
            required = named.version;
        }
    }
    return required;
}

Millis oldestPendingAnnouncementTime(const AnnouncedVersions &versions, std::int64_t loaded)
{
    for (const AnnouncedVersion &named : versions) {
        if (named.version > loaded) {
            return named.learntAt;
        }
    }
    return Millis{0};
}

} // namespace ibislock::serving
