#include "origin_reader.h"

namespace ibislock::target
{

OriginReader::OriginReader(stores::EndpointOptions store, unsigned threads)
    : m_store(std::move(store))
    , m_threadCount(threads)
{
}

OriginReader::~OriginReader()
{
    stop();
}

void OriginReader::read(OriginRead read, OriginHandler handler)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
        return;
    }
    m_jobs.push_back({.read = std::move(read), .handler = std::move(handler)});
    if (m_threads.size() < m_threadCount) {
        m_clients.push_back(std::make_unique<stores::WeightStoreClient>(m_store));
        m_threads.emplace_back([this, client = m_clients.back().get()] { work(*client); });
    }
    m_changed.notify_one();
}

void OriginReader::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_jobs.clear();
        for (const auto &client : m_clients) {
            client->stop();
        }
        m_changed.notify_all();
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

void OriginReader::work(stores::WeightStoreClient &store)
{
    while (true) {
        Job job;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
            if (m_stopping) {
                return;
            }
            job = std::move(m_jobs.front());
            m_jobs.pop_front();
        }
        job.handler(store.chunk(job.read.model, job.read.version, job.read.chunk));
    }
}

} // namespace ibislock::target
