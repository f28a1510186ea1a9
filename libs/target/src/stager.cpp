#include "stager.h"

namespace ibislock::target
{

Stager::Stager(const engine::EngineOptions &options)
    : m_background(options)
    , m_foreground(options)
{
}

Stager::~Stager()
{
    stop();
}

void Stager::begin(const Digest &root)
{
    const std::lock_guard lock(m_mutex);
    if (root == m_root) {
        return;
    }
    m_root = root;
    m_staged.clear();
    m_jobs.clear();
}

void Stager::add(std::size_t index, weights::ChunkBytes bytes)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopping || m_staged.contains(index)) {
        return;
    }
    m_jobs.push_back({.root = m_root, .index = index, .bytes = std::move(bytes)});
    if (!m_thread.joinable()) {
        m_thread = std::thread([this] { work(); });
    }
    m_changed.notify_all();
}

Result<void> Stager::finish(const weights::Manifest &manifest, Holdings &holdings)
{
    std::set<std::size_t> staged;
    Digest root;
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_stopping || (m_jobs.empty() && !m_isBusy); });
        staged = m_staged;
        root = m_root;
    }
    for (std::size_t i = 0; i < manifest.chunks.size(); ++i) {
        if (staged.contains(i)) {
            continue;
        }
        weights::ChunkBytes bytes;
        {
            const std::lock_guard lock(holdings.mutex);
            bytes = weights::get(holdings.store, manifest.chunks[i]);
        }
        if (!bytes) {
            return failure(ErrorCode::NotFound, "a verified chunk was dropped");
        }
        const auto outcome = m_foreground.stage(root, i, *bytes);
        if (!outcome) {
            return outcome;
        }
    }
    return {};
}

void Stager::reset()
{
    const std::lock_guard lock(m_mutex);
    m_root = {};
    m_staged.clear();
    m_jobs.clear();
}

void Stager::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_jobs.clear();
        m_changed.notify_all();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Stager::work()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_jobs.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const Job job = std::move(m_jobs.front());
        m_jobs.pop_front();
        m_isBusy = true;
        lock.unlock();
        const auto outcome = m_background.stage(job.root, job.index, *job.bytes);
        lock.lock();
        m_isBusy = false;
        if (outcome && job.root == m_root) {
            m_staged.insert(job.index);
        }
        m_changed.notify_all();
    }
}

} // namespace ibislock::target
