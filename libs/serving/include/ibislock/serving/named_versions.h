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

/// A version and when this process learnt of it.
struct NamedVersion
{
    std::int64_t version = 0;
    Millis learntAt{0};
    bool exact = true; ///< False if it was named before this process looked; `learntAt` is then early.
};

/// The versions of one model in their order.
using NamedVersions = std::vector<NamedVersion>;

/// Takes over a naming; one that is not newer than the last is ignored.
/// @param learntAt when it was learnt of.
/// @param exact false if it may have been named long before; `learntAt` must then be early.
/// @return whether it is new.
bool noteNamed(NamedVersions &versions, std::int64_t version, Millis learntAt, bool exact = true);

/// Takes over the time of a naming from a process that saw it happen.
void correctTime(NamedVersions &versions, std::int64_t version, Millis learntAt);

/// The oldest version on which something may begin.
/// @param time from a naming until older versions are out.
/// @return 0 while any may serve.
std::int64_t requiredVersion(const NamedVersions &versions, Millis now, Millis time);

/// When the first version that is newer than a loaded one was learnt of.
/// @return that time; zero if there is none.
Millis oldestUnreached(const NamedVersions &versions, std::int64_t loaded);

} // namespace ibislock::serving
