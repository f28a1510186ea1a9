#include "elastic_threads.h"

#include "ibislock/base/clock.h"

#include <thread>

namespace ibislock::entry
{

namespace
{

constexpr Millis IdleLifetime{10000};

} // namespace

ElasticThreads::ElasticThreads(const ElasticThreadsOptions &options)
    : m_options(options)
{
}

void ElasticThreads::enqueue(std::function<void()> task)
{
    std::unique_lock lock(m_mutex);
    m_taken.wait(lock, [this] { return m_tasks.size() < m_idle + m_options.waitingMax; });
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idle && m_threads < m_options.threadsMax) {
        ++m_threads;
        std::thread([this] { work(); }).detach();
    }
    m_backlog = m_tasks.size() > m_idle && m_threads == m_options.threadsMax;
    m_changed.notify_one();
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
