#include "ibislock/requests/concurrency_limit.h"

#include <algorithm>

namespace ibislock::requests
{

namespace
{

/// One request may wait in the engine's queue, so that a slot that becomes free is filled at once.
constexpr std::uint32_t EngineQueueMax = 1;

} // namespace

ConcurrencyLimit makeLimit(const ConcurrencyLimitOptions &options)
{
    return {.options = options, .value = std::clamp(options.initial, options.min, options.max)};
}

void adjust(ConcurrencyLimit &limit, const EngineLoad &load)
{
    if (load.queued > EngineQueueMax) {
        limit.value = std::min(limit.value, load.running + EngineQueueMax);
    } else if (load.queued == 0 && load.inFlight >= limit.value) {
        ++limit.value;
    }
    limit.value = std::clamp(limit.value, limit.options.min, limit.options.max);
}

} // namespace ibislock::requests
