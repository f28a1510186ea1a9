// Callers of the entry daemons: threads that keep a channel open and send one request after another.

#pragma once

#include "daemons.h"
#include "http.h"
#include "record.h"

#include <functional>
#include <memory>

namespace review
{

/// What a caller sends.
struct CallerRequest
{
    std::string kind; ///< For the record.
    std::string method = "POST";
    std::string host;
    std::string path;
    std::string key;
    std::int64_t deadlineMs = 2500;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool newChannel = false;
};

/// How a request ended.
struct CallerResult
{
    CallerRequest request;
    std::string attempt;
    std::string front;
    std::int64_t sentAt = 0; ///< By the steady clock.
    std::int64_t endedAt = 0;
    int status = 0; ///< 0 if the channel ended or the time was over without an answer.
    bool served = false; ///< A success with the runner's signature and a complete body.
    bool timedOut = false; ///< The caller gave up at its time limit.
};

/// The callers of one case.
class Callers
{
public:
    explicit Callers(Record &record);

    /// Starts a caller that sends a request each `pauseMs` to a front daemon.
    /// @param next returns the next request.
    void start(const Daemon &front, std::int64_t pauseMs, std::function<CallerRequest()> next);

    /// Sends one request and waits for its end.
    CallerResult send(const Daemon &front, const CallerRequest &request, std::unique_ptr<Channel> &channel);

    /// Sends one request on a new channel.
    CallerResult sendOnce(const Daemon &front, const CallerRequest &request);

    /// Ends the callers after their present request.
    void stop();

    std::vector<CallerResult> results();

private:
    Record &m_record;
    std::atomic<bool> m_stopped{false};
    std::atomic<std::uint64_t> m_attempts{0};
    std::string m_prefix;
    std::mutex m_mutex;
    std::vector<CallerResult> m_results;
};

} // namespace review
