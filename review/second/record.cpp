#include "record.h"

namespace ibislock::review
{

Record::Record(const std::string &file)
    : m_out(file)
    , m_begin(steadyMillis())
{
}

void Record::write(const std::string &who, const std::string &what)
{
    m_out << now().count() << " ms  " << who << ": " << what << std::endl;
}

Millis Record::now() const
{
    return steadyMillis() - m_begin;
}

} // namespace ibislock::review
