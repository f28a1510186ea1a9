// Periodic jobs of a daemon, on Asio timers.
//
//     Scheduler scheduler(2);
//     scheduler.every(Millis(250), [&] { exchangeReports(); });
//
// A job never overlaps itself: its next turn starts one jittered interval after its last one ended.

#pragma once

#include "ibislock/base/clock.h"

#include <functional>
#include <memory>

namespace ibislock::node
{

/// Runs jobs until it is destroyed.
class Scheduler
{
public:
    /// @param threads how many jobs may run at the same time.
    explicit Scheduler(unsigned threads);
    ~Scheduler();

    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    /// Adds a job.
    /// @param interval the longest pause between two turns; the shortest is half of it.
    /// @param job what to run; it may block its thread.
    void every(Millis interval, std::function<void()> job);

    /// Runs a job once, soon.
    void once(std::function<void()> job);

    /// Ends all jobs and waits for those that run.
    void stop();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace ibislock::node
