// Hands verified chunks to the engine while the transfer still runs, so that the load itself is short.

#pragma once

#include "holdings.h"

#include "ibislock/engine/engine_client.h"

#include <condition_variable>
#include <deque>
#include <set>
#include <thread>

namespace ibislock::target
{

/// Stages one version at a time, on a thread of its own.
class Stager
{
public:
    explicit Stager(const engine::EngineOptions &options);
    ~Stager();

    Stager(const Stager &) = delete;
    Stager &operator=(const Stager &) = delete;

    /// Turns to a version. What was staged of it stays staged.
    void begin(const Digest &root);

    /// Queues a verified chunk.
    void add(std::size_t index, weights::ChunkBytes bytes);

    /// Stages what is still missing of a complete version.
    /// @return nothing, or why the engine lacks a chunk.
    Result<void> finish(const weights::Manifest &manifest, Holdings &holdings);

    /// Forgets what was staged; the engine drops it when it loads or restarts.
    void reset();

    void stop();

private:
    struct Job
    {
        Digest root;
        std::size_t index = 0;
        weights::ChunkBytes bytes;
    };

    void work();

    engine::EngineClient m_background;
    engine::EngineClient m_foreground;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Job> m_jobs;
    bool m_isBusy = false;
    bool m_stopping = false;
    Digest m_root;
    std::set<std::size_t> m_staged;
    std::thread m_thread;
};

} // namespace ibislock::target
