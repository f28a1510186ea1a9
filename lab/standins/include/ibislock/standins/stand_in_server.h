// The HTTP server under each stand-in, with the faults that all of them share.
//
// A stand-in takes the place of a system that ibislock meets, on loopback, in tests and experiments.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/random.h"

#include <atomic>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <string>
#include <thread>

namespace ibislock::standins
{

/// Faults that any stand-in can show. They may be changed while it runs.
struct Faults
{
    std::atomic<bool> outage = false; ///< Refuses every call before it takes effect.
    std::atomic<std::int64_t> delayMs = 0; ///< Holds every call back.
    std::atomic<double> lostAnswers = 0; ///< Probability that a call takes effect and its answer is lost.
};

/// A server on a port of the system's choice.
class StandInServer
{
public:
    /// @param threads calls served at the same time; each open connection takes one.
    /// @param seed seed of the faults that are random.
    StandInServer(unsigned threads, std::uint64_t seed);
    ~StandInServer();

    StandInServer(const StandInServer &) = delete;
    StandInServer &operator=(const StandInServer &) = delete;

    /// Adds routes before `start`; each handler is subject to the shared faults.
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;
    void get(const std::string &pattern, Handler handler);
    void post(const std::string &pattern, Handler handler);
    void put(const std::string &pattern, Handler handler);

    void start();
    void stop();

    std::uint16_t port() const;
    std::string url() const;
    Faults &faults();
    bool isStopping() const;

    /// Draws whether a fault of some probability happens now.
    bool happens(double probability);

private:
    Handler guarded(Handler handler);

    httplib::Server m_server;
    Faults m_faults;
    std::mutex m_mutex;
    Random m_random;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace ibislock::standins
