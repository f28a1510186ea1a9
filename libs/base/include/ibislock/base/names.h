// Tables that map the values of an `enum class` to their external names.
//
// Declare a table next to each enumeration whose values are written to logs or records or returned to callers:
//
//     inline constexpr NameTable<Phase, 2> PhaseNames{{{Phase::Idle, "idle"}, {Phase::Busy, "busy"}}};
//     nameOf(PhaseNames, Phase::Busy);         // "busy"
//     valueOf(PhaseNames, "idle");             // Phase::Idle

#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace ibislock
{

/// Pairs each value of an enumeration with its external name.
template <typename Enum, std::size_t N>
using NameTable = std::array<std::pair<Enum, std::string_view>, N>;

/// Finds the external name of a value.
/// @return the name, or "unnamed" if the table does not contain the value.
template <typename Enum, std::size_t N>
constexpr std::string_view nameOf(const NameTable<Enum, N> &table, Enum value)
{
    for (const auto &[candidate, name] : table) {
        if (candidate == value) {
            return name;
        }
    }
    return "unnamed";
}

/// Finds the value of an external name.
/// @return the value, or nothing if the table does not contain the name.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum> valueOf(const NameTable<Enum, N> &table, std::string_view name)
{
    for (const auto &[value, candidate] : table) {
        if (candidate == name) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace ibislock
