// The closed set of outcomes that a caller can be told.

#pragma once

#include "ibislock/base/names.h"

#include <cstdint>

namespace ibislock::requests
{

/// What became of a request.
enum class Outcome : std::uint8_t {
    Answered, ///< The whole answer was delivered.
    RefusedNotRun, ///< It is proved that no target started the request, and that none will.
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

/// Why a request was not run. It decides whether another target is tried.
enum class Refusal : std::uint8_t {
    None,
    NotServing, ///< The target serves another version or role, or none now.
    Draining, ///< The target is being stopped.
    Busy, ///< The target's queue is full, or others of the queue go first.
    Expired, ///< The time allowed ran out before the request started.
    Withdrawn, ///< The entry process or the caller withdrew the request before it started.
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

/// What an entry process knows of an attempt that brought no valid end of the answer.
enum class AttemptFailure : std::uint8_t {
    NeverSent, ///< No connection could be made.
    Revoked, ///< The target confirmed that it has not started the request and never will.
    NoResponse, ///< The connection broke, or the time ran out, before any part of the answer.
    PartialResponse, ///< It broke after a part of the answer, so the request had started.
};

/// Gives the outcome that some evidence proves.
constexpr Outcome outcomeOf(AttemptFailure evidence)
{
    switch (evidence) {
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

/// Gives the outcome of a request that took several attempts. "Not run" needs the proof for every attempt, and an
/// attempt whose outcome is unknown stays unknown unless a later one answered.
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

/// Gives the HTTP status for an outcome that is not an answer.
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
