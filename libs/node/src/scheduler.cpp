#include "ibislock/node/scheduler.h"

#include "ibislock/base/random.h"

#include <asio.hpp>
#include <list>
#include <mutex>
#include <thread>
#include <vector>

namespace ibislock::node
{

namespace
{

struct Job
{
    Job(asio::io_context &io, Millis jobInterval, std::function<void()> function)
        : timer(io)
        , random(systemRandom())
        , interval(jobInterval)
        , run(std::move(function))
    {
    }

    asio::steady_timer timer;
    Random random;
    Millis interval;
    std::function<void()> run;
};

void arm(const std::shared_ptr<Job> &job)
{
    job->timer.expires_after(jittered(job->random, job->interval));
    job->timer.async_wait([job](const asio::error_code &ec) {
        if (ec) {
            return;
        }
        job->run();
        arm(job);
    });
}

} // namespace

struct Scheduler::Impl
{
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    std::vector<std::thread> threads;
};

Scheduler::Scheduler(unsigned threads)
    : m_impl(std::make_unique<Impl>())
{
    for (unsigned i = 0; i < threads; ++i) {
        m_impl->threads.emplace_back([this] { m_impl->io.run(); });
    }
}

Scheduler::~Scheduler()
{
    stop();
}

void Scheduler::every(Millis interval, std::function<void()> job)
{
    auto added = std::make_shared<Job>(m_impl->io, interval, std::move(job));
    asio::post(m_impl->io, [added] { arm(added); });
}

void Scheduler::once(std::function<void()> job)
{
    asio::post(m_impl->io, std::move(job));
}

void Scheduler::stop()
{
    m_impl->io.stop();
    for (std::thread &thread : m_impl->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

} // namespace ibislock::node
