// Limits of the process that a daemon reads or sets when it starts.

#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

namespace ibislock::net
{

/// Returns how many descriptors the process may have open: a setting, or the system's limit if that is lower.
std::size_t availableDescriptors(std::size_t setting);

/// Returns how much memory the process may use in MB: a setting, or what the machine, the process's control group or
/// its resource limits allow if that is lower.
double availableMemoryMb(double setting);

/// Returns the lowest memory limit of the control groups of a process, in bytes; nothing if they have none.
/// @param groups content of the process's /proc/PID/cgroup.
/// @param root where the control groups are mounted.
std::optional<std::uint64_t> controlGroupLimit(const std::string &groups, const std::filesystem::path &root);

/// Makes the allocator return large freed blocks to the system at once.
void returnFreedMemory();

} // namespace ibislock::net
