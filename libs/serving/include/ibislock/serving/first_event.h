// How long an engine with free slots takes until the first event of a response, as an entry VM expects it. A request
// whose first event can't be on time any more is late before its objective has passed; it would take a slot from one
// that can still be on time. Handles loads above the capacity of the engines.
//
//     Millis expected = expectedFirstEvent(spec, promptTokens);
//     bool late = spent + expected > objective;

#pragma once

#include "ibislock/serving/desired_state.h"

namespace ibislock::serving
{

/// Passes of an engine until the first event: the rest of the present one, half of one on average, and that in which
/// the prompt is processed.
inline constexpr double PassesToFirstEvent = 1.5;

/// Returns the expected time from the arrival of a request at an engine with a free slot until its first event: the
/// passes, its own prompt, and a typical prompt of another request in the same pass. 0 for an engine without figures.
Millis expectedFirstEvent(const EngineSpec &spec, int promptTokens);

} // namespace ibislock::serving
