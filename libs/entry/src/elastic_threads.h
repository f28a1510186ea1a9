// Threads of an HTTP server: as many as there are connections, up to a limit. Idle ones end after a while.
//
// A connection holds a thread while it is open. With a fixed number of threads a few slow senders would keep everybody
// else waiting; a thread that waits for input costs little more than its stack.

#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>

namespace ibislock::entry
{

/// Limits of the threads.
struct ElasticThreadsOptions
{
    std::size_t threadsMax = 1;
    std::size_t waitingMax = 1; ///< Tasks that wait for a thread.
};

/// A task queue whose threads come and go with the load.
class ElasticThreads final : public httplib::TaskQueue
{
public:
    explicit ElasticThreads(const ElasticThreadsOptions &options);

    /// Runs a task on an idle thread or a new one. A task waits when there is none, and the caller waits when as many
    /// tasks wait as may.
    void enqueue(std::function<void()> task) override;

    /// Runs the tasks that wait, and waits until all threads have ended.
    void shutdown() override;

    /// Tells whether tasks wait for a thread.
    bool hasBacklog() const;

private:
    void addThread();
    void work();

    const ElasticThreadsOptions m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::condition_variable m_taken;
    std::condition_variable m_ended;
    std::deque<std::function<void()>> m_tasks;
    std::size_t m_threads = 0;
    std::size_t m_idle = 0;
    bool m_isShortOfThreads = false; ///< The system gave none.
    std::atomic<bool> m_backlog = false;
    bool m_stopping = false;
};

} // namespace ibislock::entry
