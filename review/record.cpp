#include "record.h"

#include "http.h"

#include <cstdio>

namespace review
{

Record::Record(const std::string &file)
    : m_out(file, std::ios::trunc)
    , m_startedAt(nowMs())
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", static_cast<double>(nowMs() - m_startedAt) / 1000);
    m_out << time << text << std::endl;
}

void Record::say(const std::string &text)
{
    line(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
}

} // namespace review
