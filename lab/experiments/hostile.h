// Callers' latency beside connections that send their requests very slowly.

#pragma once

namespace ibislock::lab
{

/// `ibislock-lab hostile [--slow N] [--seed S]`: prints one JSON line for each round and one for the whole.
int runHostile(int argc, char **argv);

} // namespace ibislock::lab
