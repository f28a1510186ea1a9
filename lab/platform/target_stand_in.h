// A stand-in for a target of the users' platform: it reads requests on loopback, remembers them, and answers as told.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/http/reader.h"
#include "ibislock/net/connection.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

namespace ibislock::lab
{

/// What a target does with a request.
enum class TargetBehaviour {
    Answer, ///< Runs it and answers with 200.
    AnswerTwice, ///< Sends the answer to an earlier request in front of its own.
    Extra, ///< Sends bytes behind a whole answer.
    Fail, ///< Runs it and answers with a signed 500.
    NotFound, ///< The same with a 404.
    Refuse, ///< Does not run it and says so.
    RefuseBusy, ///< The same with a 429.
    RefuseUnnamed, ///< Runs it, and sends a refusal that names no request in front of its answer.
    MisdirectUnnamed, ///< The same with a 421.
    FailUnnamed, ///< The same with a signed 503 that does not say that the request was not run.
    CloseUnanswered, ///< Runs it and closes the connection.
    CutOff, ///< Runs it and closes within the answer.
    OddStatus, ///< Runs it and answers with the text `oddStatus` as its status.
    Unsigned, ///< Answers without its signature.
    Encoded, ///< Answers with an encoded body.
    Unframed, ///< Answers without a length, and closes.
    Late, ///< Runs it and answers after 400 ms.
    RefuseLate, ///< Does not run it and says so after 400 ms.
    Silent, ///< Runs it and never answers.
    Stream, ///< Runs it as a stream of `events` events, going on behind Last-Event-Id.
    StreamWithoutIds, ///< A stream whose events have no ids, cut off in the middle of the third.
    StreamCutOff, ///< The same, but closes in the middle of the third event.
    StreamCutOffThenSilent, ///< The same, but a stream that goes on behind Last-Event-Id is never answered.
    StreamThenSilent, ///< The first two events of a stream, and nothing more.
    StreamUnframed, ///< A whole stream without a length or chunks, which ends with its connection.
    StreamUnframedCutOff, ///< The same, but closes in the middle of the third event.
    StreamUnframedEmpty, ///< The head of such a stream, and closes.
    StreamFramedCutOff, ///< A stream in chunks that ends in the middle of the third event with a last chunk.
    StreamWithTail, ///< A whole stream, and a comment and empty lines behind it.
    /// A whole stream, but a prompt with `crashingPart` and a request with `crashingBody` are cut off within the first
    /// event.
    StreamUnlessCrashing,
    AnswerUnlessCrashing, ///< Answers, but closes the connection without a response to a request with `crashingBody`.
    StreamPausing, ///< A whole stream that sends nothing for `pause` after its second event.
    StreamOnce, ///< The first request of a connection as a stream; closes at the next, which it does not run.
    EndlessHead, ///< Runs it and sends a head without end.
    EndlessBody, ///< Runs it and sends a body without end.
    EndlessFailure, ///< Runs it and sends a signed 500 whose body has no end.
    EndlessNoise, ///< Runs it and sends bytes that are no answer, without end.
    EndlessInterim, ///< Runs it and sends interim answers without end.
    EndlessBehind, ///< Runs it, answers, and sends bytes without end behind the answer.
    EndlessEvent, ///< A stream whose third event has no end.
};

/// The target.
class TargetStandIn
{
public:
    TargetStandIn(asio::io_context &loop, std::string id, const std::string &ip = "127.0.0.1");

    ~TargetStandIn();
    TargetStandIn(const TargetStandIn &) = delete;
    TargetStandIn &operator=(const TargetStandIn &) = delete;

    std::uint16_t port() const;

    /// Requests that the target processes concurrently, as listed.
    static constexpr int Slots = 6;

    /// The listing that the target would write.
    std::string listing(const std::string &service, bool leaving = false) const;

    std::string id;
    std::string domain = "a"; ///< Failure domain, as listed.
    TargetBehaviour behaviour = TargetBehaviour::Answer;
    int events = 5;
    Millis pause{0}; ///< Of a stream that pauses, and in front of its first event if `pausesFirst`.
    bool pausesFirst = false; ///< A stream that pauses does so in front of its first event.
    std::int64_t weightsVersion = 0; ///< Of model "m", as listed; 0 for a target without weights.
    std::int64_t startedAt = 0; ///< Start of its incarnation, as listed; 0 to list none.
    Millis coldLeft{0}; ///< How much longer it is cold, as listed.
    std::vector<http::RequestHead> requests; ///< Those that were run, in their order.
    std::vector<std::string> bodies;
    std::string crashingPart = "bad"; ///< Id of a part of a prompt, in hexadecimal.
    std::string crashingBody = "deadly";
    int crashes = 0; ///< Requests with that part or body that were run.
    int open = 0; ///< Connections that are open.
    std::string oddStatus = "000";
    std::size_t answerBytes = 0; ///< Length of the body of an answer; 0 for a short one that names the target.
    http::Headers said; ///< Added to each answer and refusal.
    std::size_t endlessBytes = 0; ///< Sent so far by behaviours without end.

private:
    void serve(const std::shared_ptr<net::Connection> &connection);
    void answer(net::Connection &connection, const http::RequestHead &request);
    void answerStream(net::Connection &connection, const http::RequestHead &request);
    bool isCrashing(const http::RequestHead &request) const;

    /// Writes the events of a stream from a number on, and the pause between them.
    void writeEvents(const std::shared_ptr<net::Connection> &connection, int from);
    void answerUnlessCrashing(net::Connection &connection, const http::RequestHead &request);
    void answerUnframedStream(net::Connection &connection, const http::RequestHead &request);

    void writeLate(net::Connection &connection, std::string bytes);

    /// Writes a begin once and a part again and again, until the connection is closed.
    void writeForever(net::Connection &connection, const std::string &begin, const std::string &part);
    http::ResponseHead head(int status, const std::string &attempt) const;

    /// The head of an answer that says that a request was not run.
    /// @param attempt of the request; empty for none.
    http::ResponseHead refusal(int status, const std::string &attempt) const;

    asio::io_context &m_loop;
    std::string m_ip;
    std::vector<std::shared_ptr<net::Connection>> m_connections;
    net::Listener m_listener;
};

} // namespace ibislock::lab
