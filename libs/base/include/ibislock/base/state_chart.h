// State machines that are defined by state chart files and interpreted at run time.
//
// A chart is an INI document in charts/. Its section [chart] contains the name, the initial state and the events; each
// section [state NAME] contains for each event the next state and, after a slash, an optional action. `ignore` as the
// next state means that the event has no effect in that state.
//
//     const StateChart &chart = embeddedChart("activation");
//     const Transition &transition = transitionOf(chart, "fetching", "chunksVerified");
//     // transition.next == "draining", transition.action == "drain"
//
// An invalid chart is rejected with the line of the mistake. Every state must handle every event, and every state must
// be reachable.

#pragma once

#include "ibislock/base/error.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ibislock
{

/// The effect of an event in a state: the next state, and an action or an empty text.
struct Transition
{
    std::string next;
    std::string action;
};

/// A validated state chart.
struct StateChart
{
    std::string name;
    std::string initial;
    std::vector<std::string> events;
    std::map<std::string, std::map<std::string, Transition, std::less<>>, std::less<>> states;
};

/// Parses and validates a chart.
/// @param text the document.
/// @return the chart, or InvalidArgument with the mistake and, where it is known, its line.
Result<StateChart> parseChart(std::string_view text);

/// Returns the transition for an event in a state. Throws std::logic_error if the chart lacks one of them.
const Transition &transitionOf(const StateChart &chart, std::string_view state, std::string_view event);

/// Returns a chart that is embedded in the binary. Throws std::logic_error if there is no such chart.
/// @param name the file name of the chart without its extension.
const StateChart &embeddedChart(std::string_view name);

/// Returns the names of the charts that are embedded in the binary.
std::vector<std::string> embeddedChartNames();

} // namespace ibislock
