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
    /// @param holder under which the connection is known to the memory budget.
    CallerConnection(Front &front, std::shared_ptr<net::Connection> connection, serving::HolderId holder);

    /// Starts reading.
    void start();

    /// Writes bytes of a response.
    void write(std::string_view bytes);

    /// Writes bytes of a response, without a copy if nothing is queued.
    void writeOwned(std::string bytes);

    /// Returns the number of bytes that haven't been written to the socket yet.
    std::size_t queuedBytes() const;

    /// Ends the current request after its complete response was written.
    /// @param close whether to close the connection after the response.
    void onResponseWritten(bool close);

    /// Closes the connection within a response, so that the caller sees that the response is incomplete.
    void abort();

    /// Reports to the memory budget what the connection holds now.
    /// @return whether there is room for it.
    bool updateMemory();

    /// Closes the connection at once, as the budget has evicted it; an unfinished request is refused as not run.
    void giveWay();

    serving::HolderId holder() const
    {
        return m_holder;
    }

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
    void onDrained();

    /// Reads the bytes that arrived behind the last request.
    void readUnparsed();
    void readRequests(std::string_view bytes);
    void beginRequest();

    /// Returns whether there is room for the body of the request whose head has been read, as far as it is announced.
    bool admitsBody();
    void refuseForLackOfRoom();

    /// Makes the response with which the present request is refused.
    std::string rejection(int status);

    /// Returns the bytes that the connection and its request hold.
    std::size_t heldBytes() const;

    /// Returns whether the caller doesn't read its responses.
    bool isBacklogged() const;

    /// Records whether the caller has read part of its response since the last check.
    void recordReading(Millis now);
    bool isRequestTooSlow(Millis now) const;

    /// Makes the limits of the desired state in force those of the request that begins.
    void applyLimits();
    void rejectRequest(int status);
    void startCall();

    Front &m_front;
    std::shared_ptr<net::Connection> m_connection;
    serving::HolderId m_holder;
    serving::CallerLimits m_requestLimits; ///< Those in force when the current request began.
    http::MessageReader m_reader;
    std::string m_unparsed; ///< Received bytes after the current request.
    std::shared_ptr<Call> m_call;
    Millis m_idleSince;
    Millis m_idleTimeout; ///< Of the state in force when the connection became idle; callers may know no newer one.
    Millis m_requestStartedAt{0};
    Millis m_bodyStartedAt{0}; ///< When the head of the request that is being read was complete; 0 before.
    Millis m_progressAt{0}; ///< When the caller last sent or read something.
    std::size_t m_lastQueuedBytes = 0;
    bool m_requestKeepsAlive = true;
    bool m_readingPaused = false; ///< The caller has sent too much ahead, or doesn't read its responses.
    bool m_discardsRest = false; ///< There was no room for what follows the present request.
    bool m_closing = false; ///< Nothing more is read; the connection closes when its last bytes are written.
};

} // namespace ibislock::front
