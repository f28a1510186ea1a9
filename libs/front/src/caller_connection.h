// A caller's connection: reads one request after another, hands each to a call, and writes the answers.

#pragma once

#include "front.h"
#include "ibislock/http/reader.h"

namespace ibislock::front
{

/// A caller's connection.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(Front &front, std::shared_ptr<net::Connection> connection);

    /// Begins to read.
    void start();

    /// Writes bytes of an answer.
    void write(std::string_view bytes);

    /// Bytes that the caller has not taken yet.
    std::size_t queued() const;

    /// Tells that the present answer has been written whole.
    /// @param close whether the connection ends with it.
    void answered(bool close);

    /// Ends the connection within an answer.
    void abort();

    /// Ends the connection at the end of the process.
    void close();

    /// Tells whether the connection stays open behind the present answer.
    bool keepsAlive() const;

    /// Closes the connection if its caller takes too long; checks the present call.
    void checkTime(Millis now);

    /// Tells whether a request is being read or answered.
    bool isBusy() const;

private:
    void onData(std::string_view bytes);
    void onClosed();
    void readRequests();
    void refuseReading(int status);
    void beginCall();

    Front &m_front;
    std::shared_ptr<net::Connection> m_connection;
    http::MessageReader m_reader;
    std::string m_pending; ///< Bytes behind the present request.
    std::shared_ptr<Call> m_call;
    Millis m_idleSince;
    Millis m_requestSince{0};
    bool m_requestKeepsAlive = true;
    bool m_readingRequests = false;
};

} // namespace ibislock::front
