// Verifies that a response is complete and belongs to its request before any of it is returned to the caller.
//
//     ResponseCheck check{.request = request};
//     Result<void> part = checkPart(check, responsePart);
//     Result<void> end = checkEnd(check, responseEnd);

#pragma once

#include "ibislock/base/error.h"
#include "ibislock/requests/request.h"

namespace ibislock::requests
{

/// State of the check of one response: the request and what has been received for it.
struct ResponseCheck
{
    Request request;
    std::uint32_t nextIndex = 0;
    std::uint64_t bytes = 0;
    bool ended = false;
};

/// Checks the next part of a response.
/// @return Corrupt if the part belongs to another request, is out of order or comes after the end.
Result<void> checkPart(ResponseCheck &check, const ResponsePart &part);

/// Checks the end of a response: request id, entry incarnation, workspace, version, part count and byte count.
/// @return Corrupt if one of them does not match.
Result<void> checkEnd(ResponseCheck &check, const ResponseEnd &end);

} // namespace ibislock::requests
