// The experiment on tickets: racing operators file tickets while faults happen, and every daemon's state is watched.
//
//     ibislock-lab config --entries 6 --targets 12 --domains 3 --tickets 40 --racers 3 --seed 1 --fault log-outage=2

#pragma once

namespace ibislock::lab
{

/// Runs the experiment and prints one JSON object.
/// @return zero when every target of the experiment was met.
int runConfig(int argc, char **argv);

} // namespace ibislock::lab
