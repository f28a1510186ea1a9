// Notices that files were replaced, by their time and size. The owner asks on a timer.
//
//     FileWatch watch({"keys.ini"});
//     if (watch.hasChanged()) { ... }

#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace ibislock::security
{

/// Compares files with how they were at the last call.
class FileWatch
{
public:
    explicit FileWatch(std::vector<std::string> files);

    /// Tells whether a file was replaced, appeared or disappeared since the last call.
    bool hasChanged();

private:
    struct Mark
    {
        std::optional<std::filesystem::file_time_type> time;
        std::uintmax_t size = 0;

        bool operator==(const Mark &) const = default;
    };

    std::vector<Mark> marks() const;

    std::vector<std::string> m_files;
    std::vector<Mark> m_marks;
};

} // namespace ibislock::security
