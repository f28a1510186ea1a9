// When an engine with newer weights is expected, for the callers that are refused because no engine has the required
// version. This happens if the version arrives late, as after an outage of the weights' origin.
//
//     Millis wait = timeUntilNextLoad(table, "service", minVersion, now);

#pragma once

#include "ibislock/serving/target_table.h"

#include <string_view>

namespace ibislock::serving
{

/// Returns the time until the next engine of a service begins to load weights, as reported by the engines' VMs.
/// @param minVersion the oldest version that may serve; 0 while any may.
/// @return zero if an engine has such a version, if one is loading already, or if none has all pieces of a newer one.
Millis timeUntilNextLoad(const TargetTable &table, std::string_view service, std::int64_t minVersion, Millis now);

} // namespace ibislock::serving
