// What a load could earn at most: engines that never stand idle while work is there, and a choice of requests with
// perfect knowledge, by their worth for the time that they take.

#pragma once

#include "simulation/engine_model.h"

#include <vector>

namespace ibislock::lab
{

/// A request as the bound sees it.
struct BoundRequest
{
    double at = 0; ///< When it arrives, in milliseconds.
    double worth = 0;
    double engineMs = 0; ///< The time of an engine that it takes.
};

/// The time of a busy engine that a request takes.
double engineTimeOf(const EngineShape &shape, int promptTokens, int answerTokens);

/// The worth that can be earned.
/// @param engines the number of engines that serve in each second.
double workBound(const std::vector<BoundRequest> &requests, const std::vector<double> &engines);

} // namespace ibislock::lab
