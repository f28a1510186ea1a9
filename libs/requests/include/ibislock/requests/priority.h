// How urgent a request is. Under overload the low ones of a workspace are refused first.

#pragma once

#include "ibislock/base/names.h"

#include <cstdint>

namespace ibislock::requests
{

/// The urgency of a request among those of its workspace.
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
