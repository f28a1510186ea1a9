#include "ibislock/node/drain.h"

#include "ibislock/base/state_chart.h"

namespace ibislock::node
{

std::uint32_t drain(const DrainOptions &options)
{
    const StateChart &chart = embeddedChart("drain");
    std::string state = chart.initial;
    std::string event = "stop";
    std::uint32_t left = 0;
    while (state != "stopped") {
        const Transition &transition = transitionOf(chart, state, event);
        state = transition.next;
        if (transition.action == "refuse") {
            options.refuse();
            left = options.wait(options.grace);
            event = left == 0 ? "idle" : "overdue";
        }
    }
    return left;
}

} // namespace ibislock::node
