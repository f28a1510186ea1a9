#include "ibislock/serving/named_versions.h"

#include <algorithm>

namespace ibislock::serving
{

bool noteNamed(NamedVersions &versions, std::int64_t version, Millis learntAt, NamingTime time)
{
    if (!versions.empty() && version <= versions.back().version) {
        return false;
    }
    versions.push_back({.version = version, .learntAt = learntAt, .time = time});
    return true;
}

void correctTime(NamedVersions &versions, std::int64_t version, Millis learntAt)
{
    const auto it =
        std::lower_bound(versions.begin(), versions.end(), version,
                         [](const NamedVersion &named, std::int64_t wanted) { return named.version < wanted; });
    if (it == versions.end()) {
        return; // Only the store tells what is newest.
    }
    if (it->version != version) {
        versions.insert(it, {.version = version, .learntAt = learntAt, .time = NamingTime::Told});
        return;
    }
    if (it->time == NamingTime::Seen) {
        return;
    }
    const bool first = it->time == NamingTime::Unknown;
    it->learntAt = first ? learntAt : std::min(it->learntAt, learntAt);
    it->time = NamingTime::Told;
}

NamedVersions namingsToTell(const NamedVersions &versions, Millis now, Millis time)
{
    NamedVersions out;
    for (const NamedVersion &named : versions) {
        if (named.time == NamingTime::Unknown) {
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

std::int64_t requiredVersion(const NamedVersions &versions, Millis now, Millis time)
{
    std::int64_t required = 0;
    for (const NamedVersion &named : versions) {
        if (now >= named.learntAt + time) {
            required = named.version;
        }
    }
    return required;
}

Millis oldestUnreached(const NamedVersions &versions, std::int64_t loaded)
{
    for (const NamedVersion &named : versions) {
        if (named.version > loaded) {
            return named.learntAt;
        }
    }
    return Millis{0};
}

} // namespace ibislock::serving
