#include "ibislock/target/link.h"

namespace ibislock::target
{

void LinkFaults::setReachable(std::function<bool(const std::string &)> reachable)
{
    const std::lock_guard lock(m_mutex);
    m_reachable = std::move(reachable);
}

bool LinkFaults::mayReach(const std::string &address) const
{
    const std::lock_guard lock(m_mutex);
    return !m_reachable || m_reachable(address);
}

void ImportLedger::add(const std::string &domain, std::uint64_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_bytes[domain] += bytes;
}

std::map<std::string, std::uint64_t> ImportLedger::bytesByDomain() const
{
    const std::lock_guard lock(m_mutex);
    return m_bytes;
}

} // namespace ibislock::target
