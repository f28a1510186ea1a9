// What experiments may do to a VM's link, and what they see of it.
//
//     daemon.linkFaults().corruption = 0.01;
//     daemon.imports().bytesByDomain();

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace ibislock::target
{

/// Faults of one VM's link. They may be changed while the daemon runs.
class LinkFaults
{
public:
    std::atomic<bool> isStalled = false; ///< Nothing of weights flows in or out; everything else does.
    std::atomic<double> corruption = 0; ///< Probability that a chunk is sent corrupted.

    /// Cuts off the URLs and addresses for which a predicate is false.
    void setReachable(std::function<bool(const std::string &)> reachable);

    /// Tells whether a URL or address may be reached.
    bool mayReach(const std::string &address) const;

private:
    mutable std::mutex m_mutex;
    std::function<bool(const std::string &)> m_reachable;
};

/// The bytes of weights that came from other failure domains.
class ImportLedger
{
public:
    void add(const std::string &domain, std::uint64_t bytes);
    std::map<std::string, std::uint64_t> bytesByDomain() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_bytes;
};

} // namespace ibislock::target
