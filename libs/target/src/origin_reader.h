// Reads chunks from the weight store on threads of its own.
//
//     OriginReader reader(options, 1);
//     reader.read({.model = "frost", .version = "2", .chunk = 5}, [](Result<std::string> bytes) { ... });

#pragma once

#include "ibislock/stores/weight_store_client.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace ibislock::target
{

/// A chunk to read.
struct OriginRead
{
    std::string model;
    std::string version;
    std::size_t chunk = 0;
};

/// Takes the bytes, not yet verified, on one of the reader's threads.
using OriginHandler = std::function<void(Result<std::string>)>;

/// Threads that read.
class OriginReader
{
public:
    OriginReader(stores::EndpointOptions store, unsigned threads);
    ~OriginReader();

    OriginReader(const OriginReader &) = delete;
    OriginReader &operator=(const OriginReader &) = delete;

    /// Queues a read. Threads start with the first one.
    void read(OriginRead read, OriginHandler handler);

    /// Breaks reads in progress off, and ends.
    void stop();

private:
    struct Job
    {
        OriginRead read;
        OriginHandler handler;
    };

    void work(stores::WeightStoreClient &store);

    const stores::EndpointOptions m_store;
    const unsigned m_threadCount;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Job> m_jobs;
    bool m_stopping = false;
    std::vector<std::unique_ptr<stores::WeightStoreClient>> m_clients;
    std::vector<std::thread> m_threads;
};

} // namespace ibislock::target
