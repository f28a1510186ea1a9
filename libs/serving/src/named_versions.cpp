#include "ibislock/serving/named_versions.h"

namespace ibislock::serving
{

bool noteNamed(NamedVersions &versions, std::int64_t version, Millis learntAt, bool exact)
{
    if (!versions.empty() && version <= versions.back().version) {
        return false;
    }
    versions.push_back({.version = version, .learntAt = learntAt, .exact = exact});
    return true;
}

void correctTime(NamedVersions &versions, std::int64_t version, Millis learntAt)
{
    for (NamedVersion &named : versions) {
        if (named.version == version && !named.exact) {
            named.learntAt = learntAt;
            named.exact = true;
        }
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
