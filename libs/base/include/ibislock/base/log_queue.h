// A bounded queue of log lines in front of a file descriptor that may be slow or blocked. Adding a line never blocks: a
// line that doesn't fit, or whose kind has exceeded its rate limit, is dropped and counted.
//
//     LogQueue queue(STDOUT_FILENO);
//     queue.push("kind", "line", now);
//     queue.flush();   // call periodically

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace ibislock
{

/// The capacity of the queue in bytes; enough for some seconds of lines at the highest rate.
inline constexpr std::size_t LogQueueBytesMax = 256 * 1024;

/// The rate limit of each kind of line; above the request rate of one entry VM at its usual load.
inline constexpr int LogLinesPerKindPerSecond = 100;

/// A queue of log lines for one file descriptor.
class LogQueue
{
public:
    /// Creates a queue.
    /// @param descriptor the file descriptor to write to; it is set to non-blocking mode.
    explicit LogQueue(int descriptor);

    /// Adds a line, or drops it if the queue is full or the rate limit of its kind is exceeded.
    /// @param kind lines of the same kind share a rate limit.
    void push(std::string_view kind, std::string_view line, Millis now);

    /// Writes lines to the descriptor until it would block.
    void flush();

    /// Returns the number of lines that have been dropped since the start.
    std::uint64_t dropped() const;

private:
    /// Counts the lines of one kind that were added within one second, and those that the rate limit dropped.
    struct Rate
    {
        Millis second{0};
        int lines = 0;
        int droppedLines = 0;
    };

    void append(std::string_view line);

    int m_descriptor;
    std::string m_pending;
    std::map<std::string, Rate, std::less<>> m_rates;
    std::uint64_t m_dropped = 0;
};

} // namespace ibislock
