// The figures of the requests experiment, worked out from the calls' records and the stand-ins.

#pragma once

#include "deployment.h"
#include "load/caller.h"

#include <nlohmann/json.hpp>

namespace ibislock::lab
{

/// Jain's index of how even some values are; 1 when all are equal.
double jainIndex(const std::vector<double> &values);

/// Shares a capacity by weight among demands, so that nobody gets more than it asks for.
std::vector<double> weightedShares(double capacity, const std::vector<double> &demands,
                                   const std::vector<double> &weights);

/// Counts the calls with a verdict.
std::uint64_t countOf(const std::vector<CallRecord> &records, Verdict verdict);

/// Counts the calls that were answered within their deadline, by workspace.
std::vector<double> answeredInTime(const std::vector<CallRecord> &records, std::size_t workspaces, double deadlineMs);

/// Measures how even the answers of a phase were, relative to the weighted shares.
double fairnessOf(const std::vector<CallRecord> &records, const std::vector<double> &weights, double deadlineMs);

/// Writes the counts of the records and what the stand-ins know of them.
nlohmann::json describeCalls(const std::vector<CallRecord> &records, Deployment &deployment);

/// Writes the times of the calls.
nlohmann::json describeTimes(const std::vector<CallRecord> &records, Deployment &deployment);

} // namespace ibislock::lab
