// One caller's connection: it sends calls to entry VMs, times them, and judges every answer.
//
//     Caller caller({.balancer = &balancer}, 3);
//     CallRecord record = caller.complete(call);

#pragma once

#include "load/balancer.h"

#include "ibislock/base/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace httplib
{
class Client;
struct Request;
} // namespace httplib

namespace ibislock::lab
{

/// What a caller was told, and what the answer was worth.
enum class Verdict {
    Answered, ///< The whole answer to its own call.
    Refused, ///< Told that the call was not run.
    Failed, ///< Told that the call failed after its start.
    Unknown, ///< Told that nobody knows, or told nothing because the entry VM went away.
    Truncated, ///< A part of the answer, told as the whole.
    Wrong, ///< Another's answer, or one from mixed weights.
};

/// The kinds of call.
enum class CallKind { Whole, Stream, Service };

/// A call to make.
struct Call
{
    CallKind kind = CallKind::Whole;
    std::string credential;
    std::string user; ///< Unique; names the call to the stand-ins.
    std::string prompt;
    std::uint64_t tokens = 16;
    std::string priority = "normal";
    bool hasKey = true; ///< Whether a service call carries an idempotency key.
};

/// What became of a call.
struct CallRecord
{
    std::size_t workspace = 0;
    CallKind kind = CallKind::Whole;
    std::string user;
    Verdict verdict = Verdict::Unknown;
    bool noAnswer = false; ///< The connection broke without an answer.
    std::string entry; ///< The entry VM of the last attempt.
    double scheduledMs = 0; ///< When it was to be sent.
    double sentMs = 0;
    double firstTokenMs = 0; ///< Streams only.
    double endedMs = 0;
    std::vector<double> gapsMs; ///< Between tokens; streams only.
    std::uint32_t attempts = 1;
};

/// Reads the clock as milliseconds with fractions.
double nowMs();

/// A caller with connections of its own. Used by one thread.
class Caller
{
public:
    /// @param balancer where the entry VMs are.
    /// @param number the caller's number, which spreads callers over entry VMs.
    Caller(const Balancer &balancer, std::size_t number);
    ~Caller();

    /// Makes a call once.
    CallRecord send(const Call &call);

private:
    struct Reply
    {
        int status = 0; ///< Zero when no answer came.
        std::string body;
        std::string weights;
    };

    httplib::Client &client(const std::string &credential, CallRecord &record);
    Reply exchange(const Call &call, const std::string &path, const std::string &body, CallRecord &record,
                   const std::string &key = {});
    void complete(const Call &call, CallRecord &record);
    void callService(const Call &call, CallRecord &record);

    const Balancer &m_balancer;
    std::size_t m_number;
    std::map<std::string, std::unique_ptr<httplib::Client>> m_clients;
};

} // namespace ibislock::lab
