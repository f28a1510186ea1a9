// A caller with one kept connection, which reads its answers at a given pace.

#pragma once

#include "ibislock/http/reader.h"
#include "ibislock/net/timer.h"
#include "record.h"

#include <asio/ip/tcp.hpp>

namespace ibislock::review
{

/// A request and what came back.
struct CallerRequest
{
    std::string attempt;
    Millis sentAt{0};
    Millis deadline{0}; ///< The caller's time limit, from the sending.
    int status = 0; ///< 0 without an answer.
    bool whole = false; ///< A complete answer arrived.
    bool closed = false; ///< The connection ended before.
    Millis endedAt{0}; ///< When one of the two was the case.
    std::size_t bodyBytes = 0;
};

/// How a caller behaves.
struct CallerOptions
{
    std::string name;
    std::string ip;
    std::uint16_t port = 0;
};

/// The caller.
class Caller
{
public:
    Caller(asio::io_context &loop, Record &record, CallerOptions options);
    ~Caller();
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    /// Sends a request on the kept connection, which is opened for the first one.
    /// @param bytesPerSecond the pace at which the answer is read; 0 for as fast as it comes.
    /// @param pause how long nothing is read at first.
    void send(const std::string &path, Millis deadline, std::size_t bytesPerSecond, Millis pause = Millis{0});

    /// The last request.
    const CallerRequest &request() const;

    /// Returns whether the last request has ended.
    bool isDone() const;

private:
    bool connect();
    void read();
    void onBytes(std::string_view bytes);
    void onEnd(const std::string &how);

    Record &m_record;
    CallerOptions m_options;
    asio::ip::tcp::socket m_socket;
    http::MessageReader m_reader;
    net::Timer m_timer;
    CallerRequest m_request;
    std::size_t m_bytesPerSecond = 0;
    Millis m_readFrom{0};
    std::size_t m_bytesRead = 0;
    int m_requests = 0;
};

} // namespace ibislock::review
