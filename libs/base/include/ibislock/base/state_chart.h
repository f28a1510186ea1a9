// State charts in files that the code interprets.
//
// A chart is an INI document in charts/. The section [chart] names it, its initial state and its events; each section
// [state NAME] lists for each event the next state and, after a slash, an optional action. `ignore` stands for an event
// that changes nothing in that state.
//
//     const StateChart &chart = embeddedChart("activation");
//     Step step = stepOf(chart, "fetching", "verified");     // step.next == "draining", step.action == "drain"
//
// A broken chart is refused with the line of its mistake. Every state must handle every event, and every state must be
// reachable.

#pragma once

#include "ibislock/base/error.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ibislock
{

/// What an event does in a state.
struct Transition
{
    std::string next;
    std::string action;
};

/// A chart that has passed its checks.
struct StateChart
{
    std::string name;
    std::string initial;
    std::vector<std::string> events;
    std::map<std::string, std::map<std::string, Transition, std::less<>>, std::less<>> states;
};

/// Reads and checks a chart.
/// @param text the document.
/// @return the chart, or InvalidArgument with the line of the mistake.
Result<StateChart> parseChart(std::string_view text);

/// Finds what an event does in a state. Both must belong to the chart; anything else is a broken invariant.
const Transition &transitionOf(const StateChart &chart, std::string_view state, std::string_view event);

/// Gives a chart that is carried inside the binary.
/// @param name the chart's file name without its ending.
const StateChart &embeddedChart(std::string_view name);

/// Names of the charts that are carried inside the binary.
std::vector<std::string> embeddedChartNames();

} // namespace ibislock
