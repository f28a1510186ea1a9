#include "refused_attempts.h"

#include "ibislock/base/log.h"

#include <algorithm>
#include <bit>

namespace ibislock::entry
{

void RefusedAttempts::note(RefusedAttempt attempt, Millis now)
{
    const std::lock_guard lock(m_mutex);
    const auto it =
        std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry &entry) { return entry.attempt == attempt; });
    if (it != m_entries.end()) {
        ++it->count;
        it->last = now;
        std::rotate(it, it + 1, m_entries.end());
        return;
    }
    ++m_different;
    if (m_different <= EntriesMax || std::has_single_bit(m_different)) {
        logWarning(LogComponent::Security, "A change is refused.",
                   {{"reason", attempt.reason},
                    {"operator", attempt.operatorName},
                    {"peer", attempt.peer},
                    {"route", attempt.route}});
    }
    if (m_entries.size() == EntriesMax) {
        m_entries.erase(m_entries.begin());
    }
    m_entries.push_back({.attempt = std::move(attempt), .count = 1, .first = now, .last = now});
}

nlohmann::json RefusedAttempts::toJson() const
{
    nlohmann::json list = nlohmann::json::array();
    const std::lock_guard lock(m_mutex);
    for (const Entry &entry : m_entries) {
        list.push_back({{"reason", entry.attempt.reason},
                        {"operator", entry.attempt.operatorName},
                        {"peer", entry.attempt.peer},
                        {"route", entry.attempt.route},
                        {"count", entry.count},
                        {"first_at_ms", entry.first.count()},
                        {"last_at_ms", entry.last.count()}});
    }
    return list;
}

} // namespace ibislock::entry
