#include "ibislock/security/file_watch.h"

namespace ibislock::security
{

FileWatch::FileWatch(std::vector<std::string> files)
    : m_files(std::move(files))
    , m_marks(marks())
{
}

bool FileWatch::hasChanged()
{
    auto now = marks();
    if (now == m_marks) {
        return false;
    }
    m_marks = std::move(now);
    return true;
}

std::vector<FileWatch::Mark> FileWatch::marks() const
{
    std::vector<Mark> result;
    for (const std::string &file : m_files) {
        std::error_code ec;
        Mark mark;
        const auto time = std::filesystem::last_write_time(file, ec);
        if (!ec) {
            mark.time = time;
            mark.size = std::filesystem::file_size(file, ec);
        }
        result.push_back(mark);
    }
    return result;
}

} // namespace ibislock::security
