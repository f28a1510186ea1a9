// How many files and sockets the system lets this process open.
//
//     const std::size_t connectionsMax = std::min(setting, descriptorLimit() / 5);

#pragma once

#include <cstddef>

namespace ibislock
{

/// Gives the most descriptors that the process may have open; the largest number when there is no limit.
std::size_t descriptorLimit();

} // namespace ibislock
