// Hostile callers: connections that send a header one byte at a time and never end it. A connection that is closed is
// made again.
//
//     SlowSenders senders({.port = 8080, .connections = 200});
//     senders.start();

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/random.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace ibislock::lab
{

/// How many connections there are, and where from and to.
struct SlowSenderOptions
{
    std::uint16_t port = 0; ///< On loopback.
    std::string source = "127.0.0.2"; ///< The IP number that they come from.
    unsigned connections = 200;
    Millis interval{100}; ///< Between two bytes.
    std::uint64_t seed = 1;
};

/// Keeps slow connections open on a thread of its own.
class SlowSenders
{
public:
    explicit SlowSenders(SlowSenderOptions options);
    ~SlowSenders();

    SlowSenders(const SlowSenders &) = delete;
    SlowSenders &operator=(const SlowSenders &) = delete;

    void start();
    void stop();

    /// Gives how many connections are open.
    unsigned open() const;

    /// Gives how often a connection was closed by the other side.
    std::uint64_t closed() const;

private:
    struct Connection
    {
        int fd = -1;
        Millis nextByte{0};
    };

    void run();
    void begin(Connection &connection);
    void step(Connection &connection);

    SlowSenderOptions m_options;
    Random m_random;
    std::vector<Connection> m_connections;
    std::atomic<unsigned> m_open = 0;
    std::atomic<std::uint64_t> m_closed = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace ibislock::lab
