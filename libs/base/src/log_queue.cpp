#include "ibislock/base/log_queue.h"

#include <fcntl.h>
#include <unistd.h>

namespace ibislock
{

LogQueue::LogQueue(int descriptor)
    : m_descriptor(descriptor)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void LogQueue::append(std::string_view line)
{
    if (m_pending.size() + line.size() + 1 > LogQueueBytesMax) {
        ++m_dropped;
        return;
    }
    m_pending.append(line).append("\n");
}

void LogQueue::push(std::string_view kind, std::string_view line, Millis now)
{
    auto it = m_rates.find(kind);
    if (it == m_rates.end()) {
        it = m_rates.emplace(std::string(kind), Rate{}).first;
    }
    Rate &rate = it->second;
    const Millis second = now - now % Millis{1000};
    if (rate.second != second) {
        if (rate.droppedLines > 0) {
            append("log: Lines were left out. kind=\"" + it->first + "\" count=" + std::to_string(rate.droppedLines));
        }
        rate = {.second = second};
    }
    if (++rate.lines > LogLinesPerKindPerSecond) {
        ++rate.droppedLines;
        ++m_dropped;
        return;
    }
    append(line);
}

void LogQueue::flush()
{
    while (!m_pending.empty()) {
        const ssize_t n = write(m_descriptor, m_pending.data(), m_pending.size());
        if (n <= 0) {
            return; // The descriptor would block; the lines stay queued, and new ones are dropped once the queue is
                    // full.
        }
        m_pending.erase(0, static_cast<std::size_t>(n));
    }
}

std::uint64_t LogQueue::dropped() const
{
    return m_dropped;
}

} // namespace ibislock
