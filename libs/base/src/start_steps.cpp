#include "ibislock/base/start_steps.h"

#include "ibislock/base/metrics_text.h"

namespace ibislock
{

StartSteps::StartSteps(Millis startedAt)
    : m_startedAt(startedAt)
{
}

void StartSteps::reach(StartStep step, Millis now, LogComponent component)
{
    const auto [it, first] = m_reached.try_emplace(step, now - m_startedAt);
    if (first) {
        logInfo(
            component, "A step of the start was reached.",
            {{"step", std::string(nameOf(StartStepNames, step))}, {"after_ms", std::to_string(it->second.count())}});
    }
}

const std::map<StartStep, Millis> &StartSteps::reached() const
{
    return m_reached;
}

void writeStartMetrics(std::string &out, const StartSteps &steps)
{
    constexpr std::string_view Name = "ibislock_start_ms";
    writeMetricHeader(out, Name, "gauge", "Time from the start of the process to each step of it that was reached.");
    for (const auto &[step, after] : steps.reached()) {
        writeLabelled(out, Name, "step", nameOf(StartStepNames, step), after.count());
    }
}

} // namespace ibislock
