// The loads that the decisions of an entry VM are replayed against.
//
//     const LoadPattern *pattern = findPattern("burst");

#pragma once

#include "ibislock/base/clock.h"
#include "simulation/engine_model.h"

#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace ibislock::lab
{

/// A kind of request to engines, from the sheets of the users.
struct RequestShape
{
    std::string_view name;
    double share = 0; ///< Of all requests.
    int promptTokens = 0;
    int answerTokens = 0;
    Millis goal{0}; ///< To the first event.
    double worth = 0; ///< If it is on time.
    double lateWorth = 0;
    int priority = 1; ///< Of its route; lower ones are more urgent.
    /// Spread of the prompt lengths: standard deviation of their logarithm; 0 for prompts and answers of one length.
    double promptSpread = 0;
};

/// The longest prompt of a kind with a spread.
inline constexpr int LongestPrompt = 3880;

/// Range of the answers' lengths of a kind with a spread, as factors of `answerTokens`.
inline constexpr double ShortestAnswerFactor = 0.7;
inline constexpr double LongestAnswerFactor = 1.6;

/// The kinds of the busier of the two sites.
std::span<const RequestShape> requestShapes();

/// The kinds of a deployment whose routes to one service differ in priority and objective.
std::span<const RequestShape> mixedPriorityShapes();

/// The kinds of a deployment whose routes to one service have the same priority and objective.
std::span<const RequestShape> equalPriorityShapes();

/// What happens to an engine.
enum class EngineChange {
    Join, ///< It begins to serve.
    Leave, ///< It is lost with all its work; its listing stays for a while.
    Freeze, ///< It stands still, and its VM does not report.
    Thaw,
    Slow, ///< It takes `pace` times as long.
    BeginLoad, ///< It takes no new requests until its weights are loaded.
    EndLoad,
};

/// A change at some time.
struct EngineStep
{
    Millis at{0};
    int engine = 0;
    EngineChange change = EngineChange::Join;
    double pace = 1;
};

/// A load.
struct LoadPattern
{
    std::string_view name;
    std::string_view what;
    Millis length{20000};
    int engines = 16; ///< That serve from the start.
    int entryVms = 8;
    std::function<double(double seconds)> rate; ///< Requests a second.
    std::vector<EngineStep> steps; ///< In the order of their times.
    double promptFactor = 1; ///< Of the share `hotShare` of requests.
    double hotShare = 0;
    double eagerShare = 0; ///< Of callers that try again at once, up to `EagerTries` times.
    double leavingShare = 0; ///< Of callers that leave within half a second.
    Millis reportDelay{1}; ///< From an engine's report to the entry VMs.
    double reportLoss = 0; ///< Part of the reports that are lost.
    Millis reportJitter{0}; ///< Reports arrive up to this much later than after `reportDelay`.
    std::span<const RequestShape> shapes = requestShapes();
    EngineShape engine;
    int workspaces = 1;
    double heavyWorkspaceFactor = 1; ///< Requests of the first workspace, for one of each other workspace.
};

/// How often an eager caller tries at most.
inline constexpr int EagerTries = 4;

/// All patterns.
std::span<const LoadPattern> loadPatterns();

/// @return the pattern, or null.
const LoadPattern *findPattern(std::string_view name);

} // namespace ibislock::lab
