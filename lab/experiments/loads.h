// Replays of loads against the decisions of entry VMs, in virtual time.

#pragma once

namespace ibislock::lab
{

/// `ibislock-lab loads [--pattern NAME] [--policy NAME] [--seeds N] [--svg FILE]`: replays loads with each policy and
/// prints a table of what was earned, or draws one replay.
int runLoads(int argc, char **argv);

} // namespace ibislock::lab
