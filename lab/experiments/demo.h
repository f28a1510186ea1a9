// The demo: the whole path as separate processes on one machine.

#pragma once

namespace ibislock::lab
{

/// `ibislock-lab demo`
int runDemo(int argc, char **argv);

} // namespace ibislock::lab
