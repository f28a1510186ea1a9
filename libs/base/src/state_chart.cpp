#include "ibislock/base/state_chart.h"

#include "ibislock/base/ini.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace ibislock
{

namespace
{

constexpr std::string_view StatePrefix = "state ";
constexpr std::string_view IgnoreKeyword = "ignore";

tl::unexpected<Error> invalidLine(int line, const std::string &message)
{
    return failure(ErrorCode::InvalidArgument, "line " + std::to_string(line) + ": " + message);
}

Result<void> readHeader(StateChart &chart, const IniEntry &entry)
{
    if (entry.key == "name") {
        chart.name = entry.value;
    } else if (entry.key == "initial") {
        chart.initial = entry.value;
    } else if (entry.key == "events") {
        chart.events = splitList(entry.value);
    } else {
        return invalidLine(entry.line, "unknown key " + entry.key + " in [chart]");
    }
    return {};
}

Result<void> readTransition(StateChart &chart, const IniEntry &entry)
{
    const std::string state = entry.section.substr(StatePrefix.size());
    if (std::find(chart.events.begin(), chart.events.end(), entry.key) == chart.events.end()) {
        return invalidLine(entry.line, "unknown event " + entry.key);
    }
    Transition transition;
    const auto slash = entry.value.find('/');
    transition.next = trimmed(entry.value.substr(0, slash));
    if (slash != std::string::npos) {
        transition.action = trimmed(entry.value.substr(slash + 1));
    }
    if (transition.next == IgnoreKeyword) {
        transition.next = state;
    }
    if (!chart.states[state].emplace(entry.key, std::move(transition)).second) {
        return invalidLine(entry.line, "event " + entry.key + " is handled twice");
    }
    return {};
}

Result<void> checkTargets(const StateChart &chart, const std::vector<IniEntry> &entries)
{
    for (const IniEntry &entry : entries) {
        if (!entry.section.starts_with(StatePrefix)) {
            continue;
        }
        const auto &transition = chart.states.at(entry.section.substr(StatePrefix.size())).at(entry.key);
        if (!chart.states.contains(transition.next)) {
            return invalidLine(entry.line, "unknown state " + transition.next);
        }
    }
    return {};
}

Result<void> checkHandled(const StateChart &chart)
{
    for (const auto &[state, transitions] : chart.states) {
        for (const std::string &event : chart.events) {
            if (!transitions.contains(event)) {
                return failure(ErrorCode::InvalidArgument, "state " + state + " does not handle event " + event);
            }
        }
    }
    return {};
}

Result<void> checkReachable(const StateChart &chart)
{
    std::set<std::string> reached{chart.initial};
    std::vector<std::string> open{chart.initial};
    while (!open.empty()) {
        const std::string state = open.back();
        open.pop_back();
        for (const auto &[event, transition] : chart.states.at(state)) {
            if (reached.insert(transition.next).second) {
                open.push_back(transition.next);
            }
        }
    }
    for (const auto &[state, transitions] : chart.states) {
        if (!reached.contains(state)) {
            return failure(ErrorCode::InvalidArgument, "state " + state + " can't be reached");
        }
    }
    return {};
}

} // namespace

Result<StateChart> parseChart(std::string_view text)
{
    const auto entries = parseIni(text);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    StateChart chart;
    for (const IniEntry &entry : *entries) {
        Result<void> read;
        if (entry.section == "chart") {
            read = readHeader(chart, entry);
        } else if (entry.section.starts_with(StatePrefix)) {
            read = readTransition(chart, entry);
        } else {
            read = invalidLine(entry.line, "unknown section " + entry.section);
        }
        if (!read) {
            return tl::unexpected(read.error());
        }
    }
    if (!chart.states.contains(chart.initial)) {
        return failure(ErrorCode::InvalidArgument, "the initial state is not defined");
    }
    auto checked = checkTargets(chart, *entries).and_then([&] { return checkHandled(chart); }).and_then([&] {
        return checkReachable(chart);
    });
    if (!checked) {
        return tl::unexpected(checked.error());
    }
    return chart;
}

const Transition &transitionOf(const StateChart &chart, std::string_view state, std::string_view event)
{
    const auto found = chart.states.find(state);
    if (found == chart.states.end()) {
        throw std::logic_error("chart " + chart.name + " has no state " + std::string(state));
    }
    const auto it = found->second.find(event);
    if (it == found->second.end()) {
        throw std::logic_error("chart " + chart.name + " has no event " + std::string(event));
    }
    return it->second;
}

} // namespace ibislock
