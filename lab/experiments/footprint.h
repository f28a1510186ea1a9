// What one process costs: processor time, memory, threads and bytes on the wire, idle and under load.
//
//     ibislock-lab footprint --ibislock build/release/app/ibislock --directory run --targets 32

#pragma once

namespace ibislock::lab
{

/// Starts a deployment of processes and reads /proc for each: idle, then under load. Prints one JSON line for each kind
/// of process and phase.
/// @return the exit code.
int runFootprint(int argc, char **argv);

} // namespace ibislock::lab
