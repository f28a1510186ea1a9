// Attempts to change something that were refused for the credential or the role. Each VM keeps its own.
//
// They do not go to the platform's log: it takes a few hundred appends a second, and anybody who reaches the port could
// fill it. Attempts that differ only in time are one entry with a count, and the number of entries is bounded, so that
// a flood costs neither memory nor log lines.

#pragma once

#include "ibislock/base/clock.h"

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace ibislock::entry
{

/// What was attempted, by whom and why it was refused.
struct RefusedAttempt
{
    std::string reason;
    std::string operatorName; ///< Empty when the credential is not known.
    std::string peer; ///< IP number.
    std::string route;

    bool operator==(const RefusedAttempt &) const = default;
};

/// A bounded list of refused attempts. Safe from several threads.
class RefusedAttempts
{
public:
    /// How many different attempts are kept; the one that was seen longest ago makes room.
    static constexpr std::size_t EntriesMax = 64;

    /// Notes an attempt, and logs it when it is a new one; of very many new ones only some are logged.
    /// @param now the wall clock.
    void note(RefusedAttempt attempt, Millis now);

    /// Gives the attempts as JSON, the newest last.
    nlohmann::json toJson() const;

private:
    struct Entry
    {
        RefusedAttempt attempt;
        std::uint64_t count = 0;
        Millis first{0};
        Millis last{0};
    };

    mutable std::mutex m_mutex;
    std::vector<Entry> m_entries; ///< In the order of the last time.
    std::uint64_t m_different = 0; ///< Attempts that began an entry.
};

} // namespace ibislock::entry
