// Takes the log lines of a test: what is written to standard output from its construction on.
//
//     LogCapture log;
//     ...
//     for (const std::string &line : log.take("A request was answered.")) ...

#pragma once

#include "ibislock/base/log.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace ibislock::lab
{

/// Captures lines of severity info and above; one at a time.
class LogCapture
{
public:
    LogCapture()
    {
        startLogging(LogLevel::Info);
        testing::internal::CaptureStdout();
    }

    ~LogCapture()
    {
        if (!m_taken) {
            testing::internal::GetCapturedStdout();
        }
        startLogging(LogLevel::Warning);
    }

    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    /// Ends the capture at the first call.
    /// @return the lines with a sentence, in their order.
    std::vector<std::string> take(std::string_view sentence)
    {
        if (!m_taken) {
            m_text = testing::internal::GetCapturedStdout();
            m_taken = true;
        }
        std::vector<std::string> out;
        std::istringstream lines(m_text);
        for (std::string line; std::getline(lines, line);) {
            if (line.find(sentence) != std::string::npos) {
                out.push_back(line);
            }
        }
        return out;
    }

private:
    std::string m_text;
    bool m_taken = false;
};

/// Whether a line has a field with a value.
inline bool hasField(const std::string &line, const std::string &name, const std::string &value)
{
    return (line + " ").find(" " + name + "=" + value + " ") != std::string::npos;
}

} // namespace ibislock::lab
