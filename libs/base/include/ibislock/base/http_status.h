// Which numbers are HTTP statuses.
//
//     if (!isHttpStatus(response.status)) { ... }   // no response; whether the request ran is unknown

#pragma once

namespace ibislock
{

/// The classes of statuses are 1xx to 5xx (RFC 9110, section 15).
inline constexpr int LowestHttpStatus = 100;
inline constexpr int HighestHttpStatus = 599;

/// Returns whether a number is an HTTP status. A response with another one can't be interpreted.
constexpr bool isHttpStatus(int status)
{
    return status >= LowestHttpStatus && status <= HighestHttpStatus;
}

} // namespace ibislock
