// When a refused caller may come back. Answers two loads: a spike, after which slots are free again in some 100 ms, and
// an outage, in which callers that come back too soon use up the few tries that they have.
//
//     Millis advice = retryAdvice(RefusalCause::Full, random);

#pragma once

#include "ibislock/base/random.h"

namespace ibislock::serving
{

/// Why a request was refused.
enum class RefusalCause {
    Full, ///< All targets are full for the moment.
    NoUsableTarget, ///< No target serves: they load weights, were lost, or nothing is known of them yet.
    Redirect, ///< Other entry VMs can take it at once.
};

/// A time for the caller, drawn so that callers do not come back together.
/// @param closedFor how long it is known that no target takes a request; zero if nothing is known.
Millis suggestedRetryDelay(RefusalCause cause, Random &random, Millis closedFor = Millis{0});

} // namespace ibislock::serving
