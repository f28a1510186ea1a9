// Stands in for the platform's append-only log with offsets, retention and outages.
//
//     POST /log/records {"data": TEXT}                 -> {"offset": N}
//     GET  /log/records?from=N&limit=M&wait_ms=W       -> {"first": F, "next": N, "records": [{"offset", "data"}]}

#pragma once

#include "ibislock/standins/stand_in_server.h"

#include <condition_variable>
#include <deque>

namespace ibislock::standins
{

/// The log.
class LogStandIn
{
public:
    explicit LogStandIn(std::uint64_t seed, unsigned threads = 256);
    ~LogStandIn();

    void start();
    void stop();
    std::string url() const;
    Faults &faults();

    /// Opens one more way to the same log, with faults of its own; a failure domain that is cut off loses its way.
    /// @return the number of the way, for `frontUrl` and `frontFaults`.
    std::size_t addFront(unsigned threads);
    std::string frontUrl(std::size_t front) const;
    Faults &frontFaults(std::size_t front);

    /// Keeps only the newest records from now on; zero keeps all.
    void setRetention(std::size_t records);

    /// Appends each record twice with some probability.
    void setDuplicates(double probability);

    /// Appends a record directly.
    std::uint64_t append(const std::string &data);

    /// Gives the offset of the next append.
    std::uint64_t next() const;

    /// Gives the oldest offset that is kept.
    std::uint64_t first() const;

    /// Gives how often the log was read and appended to.
    std::uint64_t reads() const;
    std::uint64_t appends() const;

private:
    void addRoutes(StandInServer &server);
    void handleAppend(const httplib::Request &request, httplib::Response &response);
    void handleRead(StandInServer &server, const httplib::Request &request, httplib::Response &response);
    std::uint64_t appendLocked(const std::string &data);

    std::uint64_t m_seed;
    StandInServer m_server;
    std::vector<std::unique_ptr<StandInServer>> m_fronts;
    mutable std::mutex m_mutex;
    std::condition_variable m_appended;
    std::deque<std::string> m_records;
    std::uint64_t m_first = 0;
    std::size_t m_retention = 0;
    std::atomic<double> m_duplicates = 0;
    std::atomic<std::uint64_t> m_reads = 0;
    std::atomic<std::uint64_t> m_appends = 0;
};

} // namespace ibislock::standins
