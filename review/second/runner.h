// A stand-in for a sound runner of a plain service on loopback. It lists itself in the store, runs each request that it
// is sent under its own id, and answers with the attempt's id, its signature and the whole body.
//
// The second part of the path says what it answers: `/plain/N/` a body of N bytes; `/events/N-M/` a stream of N events
// with M bytes of data each.

#pragma once

#include "record.h"
#include "store.h"

#include <map>

namespace ibislock::review
{

/// What became of a request at the runner.
struct Run
{
    int times = 0; ///< How often it was run.
    Millis answeredAt{0}; ///< When the last byte of its answer was given to the connection.
};

/// The runner.
class Runner
{
public:
    Runner(asio::io_context &loop, Store &store, Record &record, std::string id, const std::string &ip);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    /// Returns what became of a request.
    Run run(const std::string &attempt) const;

    /// How long it works on a request before it answers.
    Millis work{0};

    /// Between two events of a stream.
    Millis eventPause{0};

private:
    void serve(const std::shared_ptr<net::Connection> &connection);
    void handle(const std::shared_ptr<net::Connection> &connection, const http::RequestHead &request);
    void answer(const std::shared_ptr<net::Connection> &connection, const std::string &attempt, const std::string &what,
                int from);
    void writeEvents(const std::shared_ptr<net::Connection> &connection, const std::string &attempt, int next, int end,
                     const std::string &data);
    void after(Millis time, const std::function<void()> &step);
    void recordAnswer(const std::string &attempt);
    void beat();

    asio::io_context &m_loop;
    Store &m_store;
    Record &m_record;
    std::string m_id;
    std::string m_ip;
    std::int64_t m_born;
    int m_sequence = 0;
    std::map<std::string, Run> m_runs;
    std::vector<std::shared_ptr<net::Connection>> m_connections;
    net::Listener m_listener;
    net::Timer m_beat;
};

} // namespace ibislock::review
