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
    for (NamedVersion &named : versions) {
        if (named.version != version || named.time == NamingTime::Seen) {
            continue;
        }
        const bool first = named.time == NamingTime::Unknown;
        named.learntAt = first ? learntAt : std::min(named.learntAt, learntAt);
        named.time = NamingTime::Told;
    }
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
