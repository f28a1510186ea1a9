// Checks that an answer is whole and belongs to its request before any of it is released.
//
//     AnswerCheck check{.request = request};
//     Result<void> part = checkPart(check, answerPart);
//     Result<void> end = checkEnd(check, answerEnd);

#pragma once

#include "ibislock/base/error.h"
#include "ibislock/requests/request.h"

namespace ibislock::requests
{

/// What has been received for a request.
struct ResponseCheck
{
    Request request;
    std::uint32_t nextIndex = 0;
    std::uint64_t bytes = 0;
    bool ended = false;
};

/// Checks the next part. A part of another request, out of order or after the end is refused.
Result<void> checkPart(ResponseCheck &check, const ResponsePart &part);

/// Checks the end: identity, entry incarnation, workspace, version and completeness must agree.
Result<void> checkEnd(ResponseCheck &check, const ResponseEnd &end);

} // namespace ibislock::requests
