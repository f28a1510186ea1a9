// What the system accounts to a process.
//
//     ProcessUsage before = usageOf(pid);
//     ProcessUsage after = usageOf(pid);
//     after.processorMs - before.processorMs;

#pragma once

#include <cstdint>
#include <sys/types.h>

namespace ibislock::lab
{

/// The accounts of a process.
struct ProcessUsage
{
    double processorMs = 0; ///< User and system time since the process started.
    std::uint64_t residentBytes = 0;
    std::uint64_t peakResidentBytes = 0; ///< The most since the process started.
    std::uint64_t descriptors = 0; ///< Open files and sockets.
    std::uint64_t threads = 0;
};

/// Reads the accounts from /proc; all zero when the process is gone.
ProcessUsage usageOf(pid_t pid);

} // namespace ibislock::lab
