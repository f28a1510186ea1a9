// The parts of a model engine that routing and limits meet: slots with a queue before them, and a prefix cache.
//
//     EngineSlots slots(4);
//     auto slot = slots.acquire("normal");      // waits; the slot falls free when `slot` goes
//     PrefixCache cache(1024);
//     std::size_t cached = cache.insert(prompt);

#pragma once

#include "ibislock/base/clock.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>

namespace ibislock::standins
{

struct CacheUse;

/// What an engine says of its load.
struct SlotLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/// A fixed number of slots. Those who wait are served by priority, then in order.
class EngineSlots
{
public:
    explicit EngineSlots(unsigned slots);

    /// Waits for a slot.
    /// @return the slot; it falls free when the last pointer goes.
    std::shared_ptr<void> acquire(const std::string &priority);

    /// Gives the load as it was up to some time ago.
    SlotLoad reported(Millis lag);

private:
    void release();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<std::pair<int, std::uint64_t>> m_waiting;
    std::uint64_t m_next = 0;
    unsigned m_free;
    std::uint32_t m_running = 0;
    SlotLoad m_report;
    Millis m_reportedAt{0};
};

/// A cache of prompt blocks that drops the least recently used.
class PrefixCache
{
public:
    static constexpr std::size_t BlockBytes = 256;

    explicit PrefixCache(std::size_t blocks);

    /// Gives how many whole blocks a prompt has.
    static std::size_t blocksOf(const std::string &prompt);

    /// Caches a prompt.
    /// @return how many of its leading blocks were cached before.
    std::size_t insert(const std::string &prompt);

    /// Gives what the cache did so far.
    CacheUse use() const;

private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::list<std::size_t> m_byUse;
    std::unordered_map<std::size_t, std::list<std::size_t>::iterator> m_blocks;
    std::uint64_t m_seen = 0;
    std::uint64_t m_hits = 0;
};

/// One completion at the engine.
struct EngineCall
{
    std::string id;
    std::string user;
    std::string priority;
    std::string prompt;
    std::uint64_t tokens = 0;
    std::uint64_t resumeFrom = 0;
    std::size_t cachedBlocks = 0;
    std::shared_ptr<void> slot;
    std::chrono::steady_clock::time_point begunAt = std::chrono::steady_clock::now();
};

} // namespace ibislock::standins
