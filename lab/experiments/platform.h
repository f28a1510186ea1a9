// Stand-ins of the platform, and settings and tickets that go with them, for trying the product by hand.

#pragma once

namespace ibislock::lab
{

/// `ibislock-lab platform --directory DIR [--domains N] [--entries N] [--targets N]`: starts the stand-ins, writes
/// settings, tickets and addresses into the directory, and runs until it gets a signal to stop.
int runPlatform(int argc, char **argv);

} // namespace ibislock::lab
