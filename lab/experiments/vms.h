// The daemons on the users' platform as separate processes, over stand-ins of its store, engines and origin.

#pragma once

namespace ibislock::lab
{

/// `ibislock-lab vms`
int runVms(int argc, char **argv);

} // namespace ibislock::lab
