// The record of a case: what was sent, answered and run, with times since the start.

#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review
{

/// Writes the lines of a record as they come.
class Record
{
public:
    explicit Record(const std::string &file);

    /// Writes a line with the time in front.
    void line(const std::string &text);

    /// Writes a line, and prints it.
    void say(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    std::int64_t m_startedAt;
};

} // namespace review
