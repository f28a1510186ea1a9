#include "ibislock/standins/engine_model.h"

#include "ibislock/standins/engine_stand_in.h"

namespace ibislock::standins
{

namespace
{

/// Orders priorities: the more urgent comes first.
int rankOf(const std::string &priority)
{
    if (priority == "high") {
        return 0;
    }
    return priority == "low" ? 2 : 1;
}

} // namespace

EngineSlots::EngineSlots(unsigned slots)
    : m_free(slots)
{
}

std::shared_ptr<void> EngineSlots::acquire(const std::string &priority)
{
    std::unique_lock lock(m_mutex);
    const auto ticket = std::pair(rankOf(priority), m_next++);
    m_waiting.insert(ticket);
    m_changed.wait(lock, [&] { return m_free > 0 && *m_waiting.begin() == ticket; });
    m_waiting.erase(ticket);
    --m_free;
    ++m_running;
    m_changed.notify_all();
    return {this, [](void *slots) {
                static_cast<EngineSlots *>(slots)->release();
            }};
}

void EngineSlots::release()
{
    const std::lock_guard lock(m_mutex);
    ++m_free;
    --m_running;
    m_changed.notify_all();
}

SlotLoad EngineSlots::reported(Millis lag)
{
    const std::lock_guard lock(m_mutex);
    const Millis now = steadyMillis();
    if (now - m_reportedAt >= lag) {
        m_report = {.running = m_running, .queued = static_cast<std::uint32_t>(m_waiting.size())};
        m_reportedAt = now;
    }
    return m_report;
}

PrefixCache::PrefixCache(std::size_t blocks)
    : m_capacity(blocks)
{
}

std::size_t PrefixCache::blocksOf(const std::string &prompt)
{
    return prompt.size() / BlockBytes;
}

std::size_t PrefixCache::insert(const std::string &prompt)
{
    const std::lock_guard lock(m_mutex);
    std::size_t cached = 0;
    for (std::size_t i = 0; i < blocksOf(prompt); ++i) {
        const std::size_t hash =
            std::hash<std::string_view>()(std::string_view(prompt).substr(0, (i + 1) * BlockBytes));
        const auto it = m_blocks.find(hash);
        if (it != m_blocks.end()) {
            cached += cached == i ? 1 : 0;
            m_byUse.splice(m_byUse.begin(), m_byUse, it->second);
            continue;
        }
        m_byUse.push_front(hash);
        m_blocks[hash] = m_byUse.begin();
    }
    while (m_blocks.size() > m_capacity) {
        m_blocks.erase(m_byUse.back());
        m_byUse.pop_back();
    }
    m_seen += blocksOf(prompt);
    m_hits += cached;
    return cached;
}

CacheUse PrefixCache::use() const
{
    const std::lock_guard lock(m_mutex);
    return {.blocks = m_seen, .cached = m_hits};
}

} // namespace ibislock::standins
