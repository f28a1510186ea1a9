// Counters and gauges of one daemon, and their output in the Prometheus text exposition format.
//
//     Counters counters;
//     counters.add(Counter::TicketsAccepted);
//     counters.exposition();   // "# HELP ...\n# TYPE ...\nibislock_tickets_accepted_total 1\n"
//
// Every counter has a row in counters.def and in docs/reference/counters.md.

#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace ibislock
{

/// The counters and gauges of a daemon, in the order of counters.def.
enum class Counter : std::uint8_t {
#define IBISLOCK_COUNTER(name, type, external, help) name,
#include "ibislock/base/counters.def"
#undef IBISLOCK_COUNTER
};

/// The number of counters and gauges.
inline constexpr std::size_t CounterCount = 0
#define IBISLOCK_COUNTER(name, type, external, help) +1
#include "ibislock/base/counters.def"
#undef IBISLOCK_COUNTER
    ;

/// The name, type and help text of a counter in the exposition format.
struct CounterInfo
{
    std::string_view name;
    std::string_view type;
    std::string_view help;
};

/// Returns the external description of a counter.
const CounterInfo &infoOf(Counter counter);

/// A daemon's counters. All operations are safe from any thread.
class Counters
{
public:
    /// Adds to a counter.
    void add(Counter counter, std::uint64_t amount = 1);

    /// Sets a gauge.
    void set(Counter counter, std::uint64_t value);

    /// Reads a counter.
    std::uint64_t value(Counter counter) const;

    /// Formats all counters in the text exposition format.
    std::string exposition() const;

private:
    std::array<std::atomic<std::uint64_t>, CounterCount> m_values{};
};

} // namespace ibislock
