// The spread experiment: a new version on many targets, with shaped links and faults.

#pragma once

namespace ibislock::lab
{

/// `ibislock-lab spread`
int runSpread(int argc, char **argv);

} // namespace ibislock::lab
