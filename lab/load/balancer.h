// The platform's balancer before the entry VMs: it knows which of them take callers.
//
//     Balancer balancer;
//     balancer.set({"http://127.0.0.1:8080"});
//     std::string url = balancer.pick(preferred);

#pragma once

#include <mutex>
#include <string>
#include <vector>

namespace ibislock::lab
{

/// A list of entry VMs that may change during a run.
class Balancer
{
public:
    /// Replaces the list.
    void set(std::vector<std::string> urls)
    {
        const std::lock_guard lock(m_mutex);
        m_urls = std::move(urls);
    }

    /// Takes an entry VM off the list.
    void remove(const std::string &url)
    {
        const std::lock_guard lock(m_mutex);
        std::erase(m_urls, url);
    }

    /// Gives an entry VM; the same number gives the same one while the list does not change.
    std::string pick(std::size_t number) const
    {
        const std::lock_guard lock(m_mutex);
        return m_urls.empty() ? std::string() : m_urls[number % m_urls.size()];
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_urls;
};

} // namespace ibislock::lab
