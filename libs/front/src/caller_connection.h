// A caller's connection: parses one request after another, starts a `Call` for each, and writes the responses.

#pragma once

#include "front.h"
#include "ibislock/http/reader.h"

namespace ibislock::front
{

/// The server side of a caller's HTTP connection.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(Front &front, std::shared_ptr<net::Connection> connection);

    /// Starts reading.
    void start();

    /// Writes bytes of a response.
    void write(std::string_view bytes);

    /// Returns the number of bytes that haven't been written to the socket yet.
    std::size_t queuedBytes() const;

    /// Ends the current request after its complete response was written.
    /// @param close whether to close the connection after the response.
    void onResponseWritten(bool close);

    /// Closes the connection within a response, so that the caller sees that the response is incomplete.
    void abort();

    /// Closes the connection at the end of the process.
    void close();

    /// Returns whether the connection stays open after the current response.
    bool keepsAlive() const;

    /// Checks the timeouts of the current call, or those of a caller that sends a request slowly or is idle.
    void checkTimeouts(Millis now);

    /// Returns whether the caller has closed its connection, even if that hasn't been read yet.
    bool hasCallerLeft() const;

    /// Returns whether a request is being read or processed.
    bool isBusy() const;

private:
    void onData(std::string_view bytes);
    void onClosed();
    void readRequests();

    /// Makes the limits of the desired state in force those of the request that begins.
    void applyLimits();
    void rejectRequest(int status);
    void startCall();

    Front &m_front;
    std::shared_ptr<net::Connection> m_connection;
    serving::CallerLimits m_requestLimits; ///< Those in force when the current request began.
    http::MessageReader m_reader;
    std::string m_unparsed; ///< Received bytes after the current request.
    std::shared_ptr<Call> m_call;
    Millis m_idleSince;
    Millis m_idleTimeout; ///< Of the state in force when the connection became idle; callers may know no newer one.
    Millis m_requestStartedAt{0};
    bool m_requestKeepsAlive = true;
    bool m_readingRequests = false;
    bool m_readingPaused = false; ///< The caller has sent too much ahead.
};

} // namespace ibislock::front
