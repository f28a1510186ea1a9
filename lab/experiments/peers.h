// Compares two ways for daemons to talk to each other: Cap'n Proto RPC, whose loop runs on a thread of its own beside
// the daemon's, and Cap'n Proto messages on the daemon's own loop.

#pragma once

namespace ibislock::lab
{

/// `ibislock-lab peers [--asks N] [--bytes N]`: asks a process for pieces in both ways and prints a JSON line for each
/// with the processor time of the asked process for each ask and its resident memory.
int runPeers(int argc, char **argv);

} // namespace ibislock::lab
