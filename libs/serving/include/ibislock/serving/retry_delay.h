// Delays after which refused callers should retry. After a load spike, slots are free again within some 100 ms; in an
// outage, callers that retry too soon use up the few attempts that they have.
//
//     Millis delay = suggestedRetryDelay(RefusalCause::Full, random);

#pragma once

#include "ibislock/base/random.h"

namespace ibislock::serving
{

/// Why a request was refused.
enum class RefusalCause {
    Full, ///< All targets are full at the moment.
    NoUsableTarget, ///< No target can serve: targets are loading weights, were lost, or are not known yet.
    Redirect, ///< Other entry VMs can serve the request at once.
};

/// Samples the delay after which the caller should retry; random, so that callers don't retry at the same time.
/// @param unavailableFor how long all targets are known to refuse requests from now on; zero if unknown.
Millis suggestedRetryDelay(RefusalCause cause, Random &random, Millis unavailableFor = Millis{0});

} // namespace ibislock::serving
