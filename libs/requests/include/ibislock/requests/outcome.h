// The outcomes of a request that are reported to its caller, and how they follow from the outcomes of its attempts.

#pragma once

#include "ibislock/base/names.h"

#include <cstdint>

namespace ibislock::requests
{

/// The outcome of a request.
enum class Outcome : std::uint8_t {
    Answered, ///< The complete response was delivered.
    RefusedNotRun, ///< No target has started the request, and it is certain that none will.
    FailedAfterStart, ///< A target started the request and it failed.
    Unknown, ///< The request may or may not have run.
};

/// External names of the outcomes.
inline constexpr NameTable<Outcome, 4> OutcomeNames{{
    {Outcome::Answered, "answered"},
    {Outcome::RefusedNotRun, "refused_not_run"},
    {Outcome::FailedAfterStart, "failed_after_start"},
    {Outcome::Unknown, "unknown"},
}};

/// Why a target did not run a request. It decides whether another target is tried.
enum class Refusal : std::uint8_t {
    None,
    NotServing, ///< The target serves another version or role, or currently none.
    Draining, ///< The target is being shut down.
    Busy, ///< The target's queue is full, or the request was shed from it.
    Expired, ///< The deadline passed before the request started.
    Withdrawn, ///< The entry process or the caller cancelled the request before it started.
};

/// External names of the refusals.
inline constexpr NameTable<Refusal, 6> RefusalNames{{
    {Refusal::None, "none"},
    {Refusal::NotServing, "not_serving"},
    {Refusal::Draining, "leaving"},
    {Refusal::Busy, "busy"},
    {Refusal::Expired, "expired"},
    {Refusal::Withdrawn, "withdrawn"},
}};

/// How an attempt failed that produced no valid end of the response, as far as the entry process knows.
enum class AttemptFailure : std::uint8_t {
    NeverSent, ///< No connection could be established.
    Revoked, ///< The target confirmed that it has not started the request and never will.
    NoResponse, ///< The connection failed, or the deadline passed, before any part of the response.
    PartialResponse, ///< The connection failed after a part of the response, so the request had started.
};

/// Returns the outcome that can be concluded from a failed attempt.
constexpr Outcome outcomeOf(AttemptFailure attempt)
{
    switch (attempt) {
    case AttemptFailure::NeverSent:
    case AttemptFailure::Revoked:
        return Outcome::RefusedNotRun;
    case AttemptFailure::PartialResponse:
        return Outcome::FailedAfterStart;
    case AttemptFailure::NoResponse:
        return Outcome::Unknown;
    }
    return Outcome::Unknown;
}

/// Returns the outcome of a request after several attempts. A request counts as not run only if that is certain for
/// every attempt. If the outcome of an attempt is unknown, so is that of the request, unless a later attempt is
/// answered.
constexpr Outcome combinedOutcome(Outcome earlier, Outcome later)
{
    if (later == Outcome::Answered || earlier == Outcome::RefusedNotRun) {
        return later;
    }
    if (earlier == Outcome::Unknown || later == Outcome::Unknown) {
        return Outcome::Unknown;
    }
    return Outcome::FailedAfterStart;
}

/// Returns the HTTP status that an outcome is reported with.
constexpr std::uint16_t httpStatusOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return 200;
    case Outcome::RefusedNotRun:
        return 503;
    case Outcome::FailedAfterStart:
        return 502;
    case Outcome::Unknown:
        return 504;
    }
    return 500;
}

} // namespace ibislock::requests
