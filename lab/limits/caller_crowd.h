// Callers that nobody controls: many connections that each send a beginning and a number of equal pieces, and then stay
// open without sending more. A connection that the other side closes is opened again.
//
//     CallerCrowd crowd({{.begin = "POST / HTTP/1.1\r\n", .connections = 200}}, port);
//     crowd.start();
//     crowd.sentOnce();   // connections that have sent all they have, or were closed

#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace ibislock::lab
{

/// What the connections of one kind send.
struct CrowdKind
{
    std::string begin; ///< Sent once.
    std::string piece; ///< Sent `pieces` times after it.
    std::size_t pieces = 0;
    unsigned connections = 1;
    bool reads = true; ///< Whether responses are read.
};

/// Keeps the connections of all kinds open on a thread of its own.
class CallerCrowd
{
public:
    /// @param port on 127.0.0.1.
    CallerCrowd(std::vector<CrowdKind> kinds, std::uint16_t port);

    /// Closes all connections.
    ~CallerCrowd();
    CallerCrowd(const CallerCrowd &) = delete;
    CallerCrowd &operator=(const CallerCrowd &) = delete;

    void start();

    /// Returns whether each connection has sent all it has or was closed, at least once.
    bool sentOnce() const;

private:
    struct Member
    {
        const CrowdKind *kind = nullptr;
        int fd = -1;
        std::size_t sent = 0; ///< Bytes since the connection was opened.
        bool done = false;
        std::int64_t openAgainAt = 0; ///< Of the steady clock, in milliseconds.
    };

    void run();
    void open(Member &member) const;
    void close(Member &member);
    bool send(Member &member) const;
    void step(Member &member, short events);
    void markDone(Member &member);

    std::vector<CrowdKind> m_kinds;
    std::uint16_t m_port;
    std::vector<Member> m_members;
    std::atomic<std::size_t> m_done = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace ibislock::lab
