// A bounded queue of log lines in front of a descriptor that may be slow or blocked. Writing a line never waits: a line
// that doesn't fit, or whose kind has used up its rate, is counted and left out.
//
//     LogQueue queue(1);
//     queue.push("kind", "line", now);
//     queue.flush();   // from time to time

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace ibislock
{

/// Bytes that may wait for the descriptor; some seconds of lines at the highest rate.
inline constexpr std::size_t LogQueueBytesMax = 256 * 1024;

/// Lines of one kind in a second; above the rate of requests of one entry VM at its usual load.
inline constexpr int LogLinesPerKindPerSecond = 100;

/// The queue.
class LogQueue
{
public:
    /// @param descriptor where lines go; it is set to not block.
    explicit LogQueue(int descriptor);

    /// Adds a line.
    /// @param kind lines of one kind share a rate.
    void push(std::string_view kind, std::string_view line, Millis now);

    /// Hands lines over to the descriptor as far as it takes them.
    void flush();

    /// How many lines have been left out since the start.
    std::uint64_t dropped() const;

private:
    /// The use of a kind's rate.
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
