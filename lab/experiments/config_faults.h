// The faults of the experiment on tickets, and when each of them happens in a run.
//
//     Result<FaultPlan> plan = faultPlanFrom({"log-outage=2", "trim"});

#pragma once

#include "ibislock/base/error.h"

#include <optional>
#include <string>
#include <vector>

namespace ibislock::lab
{

/// The faults that can be asked for.
enum class ConfigFault {
    LogOutage,
    LogSlow,
    LostAnswers,
    DuplicateRecords,
    Trim,
    Partition,
    RestartEntries,
    RestartAllOfDomain,
    Pause,
};

/// Names of the faults, as on the command line.
inline constexpr NameTable<ConfigFault, 9> ConfigFaultNames{{
    {ConfigFault::LogOutage, "log-outage"},
    {ConfigFault::LogSlow, "log-slow"},
    {ConfigFault::LostAnswers, "lost-answers"},
    {ConfigFault::DuplicateRecords, "duplicate-records"},
    {ConfigFault::Trim, "trim"},
    {ConfigFault::Partition, "partition"},
    {ConfigFault::RestartEntries, "restart-entries"},
    {ConfigFault::RestartAllOfDomain, "restart-all-of-domain"},
    {ConfigFault::Pause, "pause"},
}};

/// One fault and its amount: seconds, milliseconds or a probability, as the fault says.
struct PlannedFault
{
    ConfigFault fault = ConfigFault::LogOutage;
    double amount = 0;
};

/// Faults in the order in which they were asked for. Lasting ones hold for the whole run; the others happen in turn.
using FaultPlan = std::vector<PlannedFault>;

/// Reads faults of the form NAME or NAME=AMOUNT.
/// @return the plan, or InvalidArgument with the text that is wrong.
Result<FaultPlan> faultPlanFrom(const std::vector<std::string> &texts);

/// Tells whether a fault holds for the whole run.
bool isLasting(ConfigFault fault);

/// Finds a fault of a plan.
std::optional<double> amountOf(const FaultPlan &plan, ConfigFault fault);

} // namespace ibislock::lab
