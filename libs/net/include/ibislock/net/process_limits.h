// Limits of the process that a daemon reads or sets when it starts.

#pragma once

#include <cstddef>

namespace ibislock::net
{

/// Returns how many descriptors the process may have open: a setting, or the system's limit if that is lower.
std::size_t availableDescriptors(std::size_t setting);

/// Makes the allocator return large freed blocks to the system at once.
void returnFreedMemory();

} // namespace ibislock::net
