// Stands in for a plain service, such as a station desk that logs readings. It counts how often each call ran.
//
//     any path, any method -> {"method", "path", "body", "runs"}

#pragma once

#include "ibislock/standins/stand_in_server.h"

#include <map>

namespace ibislock::standins
{

/// The service.
class ServiceStandIn
{
public:
    explicit ServiceStandIn(std::uint64_t seed, unsigned threads = 64);
    ~ServiceStandIn();

    void start();
    void stop();
    std::string url() const;
    Faults &faults();

    /// Gives how often a body was run by a POST call.
    std::uint64_t runsOf(const std::string &body) const;

    /// Gives the largest number of runs of any body.
    std::uint64_t mostRuns() const;

private:
    void handle(const httplib::Request &request, httplib::Response &response);

    StandInServer m_server;
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_runs;
};

} // namespace ibislock::standins
