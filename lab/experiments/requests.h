// Callers before a deployment, under overload and faults: what they were told, and whether it was true.

#pragma once

namespace ibislock::lab
{

/// Runs the experiment and prints one JSON object.
/// @return 0 when every target holds, 1 when one does not, 2 for wrong options.
int runRequests(int argc, char **argv);

} // namespace ibislock::lab
