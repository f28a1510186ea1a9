// The priority of a request. Under overload the requests of a workspace with the lowest priority are shed first.

#pragma once

#include "ibislock/base/names.h"

#include <cstdint>

namespace ibislock::requests
{

/// The priority of a request relative to the others of its workspace.
enum class Priority : std::uint8_t { Low, Normal, High };

/// The number of priorities.
inline constexpr std::size_t PriorityCount = 3;

/// External names of the priorities.
inline constexpr NameTable<Priority, PriorityCount> PriorityNames{{
    {Priority::Low, "low"},
    {Priority::Normal, "normal"},
    {Priority::High, "high"},
}};

} // namespace ibislock::requests
