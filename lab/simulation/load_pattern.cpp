#include "simulation/load_pattern.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace ibislock::lab
{

namespace
{

/// Requests a second that the sheets ask for at the top of the load.
constexpr double TopRate = 202.6;

/// Requests a second that one engine finishes of these kinds.
constexpr double EngineRate = 9.7;

/// Requests a second that one engine finishes of the kinds of `mixedPriorityShapes` and of `equalPriorityShapes`: the
/// reciprocal of the mean of `engineTimeOf`.
constexpr double MixedEngineRate = 8.0;
constexpr double EqualEngineRate = 9.7;

/// Requests a second at a part of what the engines at the start can do.
std::function<double(double)> steady(double part)
{
    return [part](double) {
        return part * 16 * EngineRate;
    };
}

std::function<double(double)> burst()
{
    return [](double seconds) {
        return (seconds >= 6 && seconds < 9 ? 2.0 : 0.6) * 16 * EngineRate;
    };
}

/// Steps up to the top at 9 s, as on the standard days.
std::function<double(double)> climbing()
{
    return [](double seconds) {
        return TopRate * std::min(1.0, 0.4 + 0.2 * std::floor(seconds / 3));
    };
}

/// Empty engines that serve one after another, each half second from a time on.
std::vector<EngineStep> joining(int first, int count, Millis from)
{
    std::vector<EngineStep> out;
    for (int n = 0; n < count; ++n) {
        out.push_back({.at = from + Millis{500 * n}, .engine = first + n, .change = EngineChange::Join});
    }
    return out;
}

/// Engines that are replaced one after the other: each leaves, and another serves a second later.
std::vector<EngineStep> release()
{
    std::vector<EngineStep> out;
    for (int n = 0; n < 16; ++n) {
        out.push_back({.at = Millis{3000 + 1000 * n}, .engine = n, .change = EngineChange::Leave});
        out.push_back({.at = Millis{4000 + 1000 * n}, .engine = 16 + n, .change = EngineChange::Join});
    }
    std::stable_sort(out.begin(), out.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    return out;
}

/// Each engine loads a version in its turn, some 0.9 s long with the work that it finishes first.
std::vector<EngineStep> rolling()
{
    std::vector<EngineStep> out;
    for (int n = 0; n < 16; ++n) {
        out.push_back({.at = Millis{5000 + 380 * n}, .engine = n, .change = EngineChange::BeginLoad});
        out.push_back({.at = Millis{5900 + 380 * n}, .engine = n, .change = EngineChange::EndLoad});
    }
    std::stable_sort(out.begin(), out.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    return out;
}

/// Some engines, all at once.
std::vector<EngineStep> atOnce(int count, Millis at, EngineChange change, double pace = 1)
{
    std::vector<EngineStep> out;
    for (int n = 0; n < count; ++n) {
        out.push_back({.at = at, .engine = n, .change = change, .pace = pace});
    }
    return out;
}

/// Engines that are lost at 6 s and replaced by as many at 11 s.
std::vector<EngineStep> lostForAWhile(int count)
{
    std::vector<EngineStep> out = atOnce(count, Millis{6000}, EngineChange::Leave);
    const std::vector<EngineStep> back = atOnce(count, Millis{11000}, EngineChange::Join);
    out.insert(out.end(), back.begin(), back.end());
    return out;
}

std::vector<EngineStep> frozenForAWhile()
{
    std::vector<EngineStep> out = atOnce(2, Millis{6000}, EngineChange::Freeze);
    const std::vector<EngineStep> back = atOnce(2, Millis{11000}, EngineChange::Thaw);
    out.insert(out.end(), back.begin(), back.end());
    return out;
}

/// Half of a deployment: the proportions of entry VMs and engines decide how many entry VMs choose alike.
LoadPattern mixedPriorities(std::string_view name, std::string_view what, double part,
                            std::vector<EngineStep> steps = {})
{
    constexpr int Engines = 20;
    return {.name = name,
            .what = what,
            .engines = Engines,
            .entryVms = 14,
            .rate = [part](double) { return part * Engines * MixedEngineRate; },
            .steps = std::move(steps),
            .reportDelay = Millis{20},
            .reportJitter = Millis{80},
            .shapes = mixedPriorityShapes(),
            .engine = {.slots = 12}};
}

LoadPattern equalPriorities(std::string_view name, std::string_view what, double part,
                            std::vector<EngineStep> steps = {})
{
    constexpr int Engines = 17;
    return {.name = name,
            .what = what,
            .engines = Engines,
            .entryVms = 32,
            .rate = [part](double) { return part * Engines * EqualEngineRate; },
            .steps = std::move(steps),
            .reportDelay = Millis{20},
            .reportJitter = Millis{80},
            .shapes = equalPriorityShapes(),
            .engine = {.slots = 12, .stepMs = 7.4, .promptTokensPerMs = 31.9, .stepsPerPass = 7}};
}

/// One of 24 workspaces requests eight times its share.
LoadPattern heavyWorkspace()
{
    LoadPattern out = equalPriorities("workspace", "one of 24 workspaces requests eight times its share", 1.3);
    out.workspaces = 24;
    out.heavyWorkspaceFactor = 8;
    return out;
}

} // namespace

std::span<const RequestShape> requestShapes()
{
    static constexpr std::array Shapes{
        RequestShape{"digest", 0.406, 1330, 100, Millis{500}, 2.4, 0.6},
        RequestShape{"note", 0.308, 827, 100, Millis{400}, 2.0, 0.49},
        RequestShape{"brief", 0.286, 647, 70, Millis{400}, 1.5, 0.37},
    };
    return Shapes;
}

std::span<const RequestShape> mixedPriorityShapes()
{
    static constexpr std::array Shapes{
        RequestShape{"shift-summary", 0.337, 1330, 105, Millis{1000}, 1.0, 0.37, 2, 1.0},
        RequestShape{"route-brief", 0.427, 827, 105, Millis{400}, 3.2, 0.32, 0, 1.0},
        RequestShape{"delay-notice", 0.236, 647, 70, Millis{400}, 1.3, 0.31, 1, 1.0},
    };
    return Shapes;
}

std::span<const RequestShape> equalPriorityShapes()
{
    static constexpr std::array Shapes{
        RequestShape{"parcel-summary", 0.402, 1330, 126, Millis{400}, 2.4, 0.6, 1, 1.0},
        RequestShape{"boundary-brief", 0.282, 827, 126, Millis{400}, 2.1, 0.53, 1, 1.0},
        RequestShape{"encumbrance-note", 0.316, 647, 70, Millis{400}, 1.4, 0.34, 1, 1.0},
    };
    return Shapes;
}

std::span<const LoadPattern> loadPatterns()
{
    static const std::array patterns{
        LoadPattern{.name = "half", .what = "half of what the engines can do", .rate = steady(0.5)},
        LoadPattern{.name = "near", .what = "nine tenths of what they can do", .rate = steady(0.9)},
        LoadPattern{.name = "over", .what = "1.4 times what they can do", .rate = steady(1.4)},
        LoadPattern{.name = "burst", .what = "twice what they can do for 3 s", .rate = burst()},
        LoadPattern{.name = "climb",
                    .what = "steps of load while empty engines come, one each half second",
                    .length = Millis{25000},
                    .rate = climbing(),
                    .steps = joining(16, 11, Millis{8500})},
        LoadPattern{.name = "eager",
                    .what = "callers that try again at once, over capacity",
                    .rate = steady(1.2),
                    .eagerShare = 0.5},
        LoadPattern{.name = "leaving", .what = "callers that leave early", .rate = steady(1.1), .leavingShare = 0.3},
        LoadPattern{.name = "hot",
                    .what = "one workspace sends prompts three times as long",
                    .rate = steady(0.7),
                    .promptFactor = 3,
                    .hotShare = 0.2},
        LoadPattern{.name = "slow",
                    .what = "four engines take 2.5 times as long",
                    .rate = steady(0.7),
                    .steps = atOnce(4, Millis{5000}, EngineChange::Slow, 2.5)},
        LoadPattern{.name = "frozen",
                    .what = "two engines and their VMs stand still for 5 s",
                    .rate = steady(0.7),
                    .steps = frozenForAWhile()},
        LoadPattern{.name = "lost",
                    .what = "a third of the engines is lost at once",
                    .rate = steady(0.8),
                    .steps = atOnce(5, Millis{6000}, EngineChange::Leave)},
        LoadPattern{.name = "release",
                    .what = "engines are replaced one after the other",
                    .length = Millis{23000},
                    .rate = steady(0.8),
                    .steps = release()},
        LoadPattern{.name = "rolling", .what = "a version is loaded in turns", .rate = steady(0.8), .steps = rolling()},
        LoadPattern{.name = "stale",
                    .what = "reports come 300 ms late and a third is lost",
                    .rate = steady(0.9),
                    .reportDelay = Millis{300},
                    .reportLoss = 0.33},
        mixedPriorities("mixed_near", "kinds of different priority, 0.9 of what the engines can do", 0.9),
        mixedPriorities("mixed", "kinds of different priority, 1.4 times what the engines can do", 1.4),
        mixedPriorities("mixed_more", "the same at 1.7 times that load", 1.4 * 1.7),
        mixedPriorities("mixed_lost", "the same at 0.9, and a third of the engines is lost for 5 s", 0.9,
                        lostForAWhile(7)),
        equalPriorities("equal_near", "kinds of one priority, 0.9 of what the engines can do", 0.9),
        equalPriorities("equal", "kinds of one priority, 1.45 times what the engines can do", 1.45),
        equalPriorities("equal_more", "the same at 2.5 times that load", 1.45 * 2.5),
        equalPriorities("equal_slow", "the same at 0.8, and one engine takes three times as long", 0.8,
                        atOnce(1, Millis{5000}, EngineChange::Slow, 3)),
        heavyWorkspace(),
    };
    return patterns;
}

const LoadPattern *findPattern(std::string_view name)
{
    const auto patterns = loadPatterns();
    const auto it = std::find_if(patterns.begin(), patterns.end(), [&](const auto &item) { return item.name == name; });
    return it == patterns.end() ? nullptr : &*it;
}

} // namespace ibislock::lab
