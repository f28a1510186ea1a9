// Follows the platform's log: long reads, the way across trimmed records, and confirmation that the end was reached.

#pragma once

#include "state_holder.h"

#include <atomic>
#include <thread>

namespace ibislock::node
{

/// Follows the log on a thread of its own.
class LogFollower
{
public:
    LogFollower(const NodeOptions &options, Counters &counters, StateHolder &holder);
    ~LogFollower();

    LogFollower(const LogFollower &) = delete;
    LogFollower &operator=(const LogFollower &) = delete;

    /// Starts to follow.
    /// @param isServedByOthers tells whether neighbours bring the records now, so that the log is left alone.
    void start(std::function<bool()> isServedByOthers);
    void stop();

    /// Reads the log to its end now, whoever else reads it.
    /// @return when the read began, on the process's clock; or why the end was not reached.
    Result<Millis> confirm();

    /// Tells when the log last answered, on the monotonic clock; zero when it never did.
    Millis readAt() const;

    /// Tells whether the last read succeeded.
    bool isReachable() const;

    /// Tells whether records are missing that neither the log nor a snapshot in it holds.
    bool hasGap() const;

private:
    void follow();
    void take(const stores::LogPage &page);

    const NodeOptions &m_options;
    Counters &m_counters;
    StateHolder &m_holder;
    stores::LogClient m_reader;
    std::mutex m_confirmMutex;
    stores::LogClient m_confirmer;
    configuration::Offset m_scanned = 0; ///< How far the log was searched for a snapshot.
    configuration::Offset m_first = 0; ///< The oldest record that the log held at the last read.
    std::function<bool()> m_isServedByOthers;
    std::atomic<Millis> m_readAt = Millis(0);
    std::atomic<bool> m_reachable = false;
    std::atomic<bool> m_gap = false;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace ibislock::node
