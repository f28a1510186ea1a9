#include "elastic_threads.h"

#include "ibislock/base/clock.h"

#include <system_error>
#include <thread>

namespace ibislock::entry
{

namespace
{

constexpr Millis IdleLifetime{10000};

/// Pause before a thread is asked for again when there is none at all.
constexpr Millis ThreadRetryInterval{100};

} // namespace

ElasticThreads::ElasticThreads(const ElasticThreadsOptions &options)
    : m_options(options)
{
}

void ElasticThreads::enqueue(std::function<void()> task)
{
    std::unique_lock lock(m_mutex);
    while (!m_taken.wait_for(lock, ThreadRetryInterval,
                             [this] { return m_tasks.size() < m_idle + m_options.waitingMax; })) {
        if (m_threads == 0) {
            addThread();
        }
    }
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idle && m_threads < m_options.threadsMax) {
        addThread();
    }
    m_backlog = m_tasks.size() > m_idle && (m_threads == m_options.threadsMax || m_isShortOfThreads);
    m_changed.notify_one();
}

/// Starts a thread if the system gives one; else tasks wait for those that run. The caller holds the lock.
void ElasticThreads::addThread()
{
    try {
        std::thread([this] { work(); }).detach();
        ++m_threads;
        m_isShortOfThreads = false;
    } catch (const std::system_error &) {
        m_isShortOfThreads = true;
    }
}

void ElasticThreads::shutdown()
{
    std::unique_lock lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
    m_ended.wait(lock, [this] { return m_threads == 0; });
}

bool ElasticThreads::hasBacklog() const
{
    return m_backlog;
}

void ElasticThreads::work()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idle;
        const bool woken = m_changed.wait_for(lock, IdleLifetime, [this] { return m_stopping || !m_tasks.empty(); });
        --m_idle;
        if (m_tasks.empty() && (!woken || m_stopping)) {
            break;
        }
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        m_backlog = m_backlog && !m_tasks.empty();
        m_taken.notify_all();
        lock.unlock();
        task();
        lock.lock();
    }
    --m_threads;
    m_ended.notify_all();
}

} // namespace ibislock::entry
