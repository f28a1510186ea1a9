// Error codes and the `Result` type that every operation that can fail returns.
//
//     Result<Offset> appended = log.append(record);
//     if (!appended && appended.error().code == ErrorCode::OutcomeUnknown) { ... }

#pragma once

#include "ibislock/base/names.h"

#include <string>
#include <tl/expected.hpp>

namespace ibislock
{

/// Codes of failures, by what the caller of an operation can do about them.
enum class ErrorCode {
    InvalidArgument, ///< The input is invalid; the same call would fail again.
    NotFound, ///< The requested object does not exist.
    Conflict, ///< A concurrent writer was first.
    Unavailable, ///< The operation had no effect; a retry may succeed.
    OutcomeUnknown, ///< The operation may or may not have taken effect.
    DeadlineExceeded, ///< The deadline passed before the operation started.
    Exhausted, ///< A limit was reached.
    Denied, ///< The credential does not allow the operation.
    Fenced, ///< There is a newer holder of the lease.
    Corrupt, ///< The data failed an integrity check.
    Trimmed, ///< The requested records are no longer retained.
    Unsupported, ///< The data has a newer schema.
    Cancelled, ///< The caller cancelled the operation.
};

/// External names of the error codes.
inline constexpr NameTable<ErrorCode, 13> ErrorCodeNames{{
    {ErrorCode::InvalidArgument, "invalid_argument"},
    {ErrorCode::NotFound, "not_found"},
    {ErrorCode::Conflict, "conflict"},
    {ErrorCode::Unavailable, "unavailable"},
    {ErrorCode::OutcomeUnknown, "outcome_unknown"},
    {ErrorCode::DeadlineExceeded, "deadline_exceeded"},
    {ErrorCode::Exhausted, "exhausted"},
    {ErrorCode::Denied, "denied"},
    {ErrorCode::Fenced, "fenced"},
    {ErrorCode::Corrupt, "corrupt"},
    {ErrorCode::Trimmed, "trimmed"},
    {ErrorCode::Unsupported, "unsupported"},
    {ErrorCode::Cancelled, "cancelled"},
}};

/// An error: its code, and a message for the operator.
struct Error
{
    ErrorCode code = ErrorCode::InvalidArgument;
    std::string message;
};

/// A value, or the error because of which there is none.
template <typename T = void>
using Result = tl::expected<T, Error>;

/// Creates the error of a `Result`.
/// @param code the code of the error.
/// @param message a message that says what failed.
inline tl::unexpected<Error> failure(ErrorCode code, std::string message)
{
    return tl::unexpected<Error>(Error{code, std::move(message)});
}

} // namespace ibislock
