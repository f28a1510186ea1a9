#include "ibislock/serving/first_event.h"

namespace ibislock::serving
{

Millis expectedFirstEvent(const EngineSpec &spec, int promptTokens)
{
    if (spec.promptTokensPerMs <= 0) {
        return Millis{0};
    }
    const double promptMs = (promptTokens + spec.typicalPromptTokens) / spec.promptTokensPerMs;
    return Millis{static_cast<std::int64_t>(promptMs + PassesToFirstEvent * spec.stepsPerPass * spec.stepMs)};
}

} // namespace ibislock::serving
