// The record of a case: what was sent, answered and run, a line each, with the milliseconds since the start.

#pragma once

#include "ibislock/base/clock.h"

#include <fstream>
#include <string>

namespace ibislock::review
{

/// Writes the record.
class Record
{
public:
    /// @param file is replaced.
    explicit Record(const std::string &file);

    /// Writes a line.
    void write(const std::string &who, const std::string &what);

    /// Returns the time since the start.
    Millis now() const;

private:
    std::ofstream m_out;
    Millis m_begin;
};

} // namespace ibislock::review
