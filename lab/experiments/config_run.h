// One run of the experiment on tickets.

#pragma once

#include "experiments/config_faults.h"

#include <nlohmann/json.hpp>

namespace ibislock::lab
{

/// What is run.
struct ConfigOptions
{
    unsigned entries = 6;
    unsigned targets = 12;
    unsigned domains = 3;
    std::uint64_t tickets = 40;
    unsigned racers = 3;
    std::uint64_t seed = 1;
    FaultPlan faults;
    std::string binary; ///< The product's program, for the fault `pause`.
    double idleSeconds = 0; ///< How long to go on after the tickets, to measure the cost at rest.
};

/// Runs the experiment.
/// @return the result object; `ok` tells whether every target was met.
nlohmann::json runConfigOnce(const ConfigOptions &options);

} // namespace ibislock::lab
