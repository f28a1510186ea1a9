#include "ibislock/requests/response_check.h"

namespace ibislock::requests
{

Result<void> checkPart(ResponseCheck &check, const ResponsePart &part)
{
    if (part.id != check.request.id) {
        return failure(ErrorCode::Corrupt, "the part belongs to another request");
    }
    if (check.ended) {
        return failure(ErrorCode::Corrupt, "the part came after the end");
    }
    if (part.index != check.nextIndex) {
        return failure(ErrorCode::Corrupt, "the part is out of order");
    }
    ++check.nextIndex;
    check.bytes += part.data.size();
    return {};
}

Result<void> checkEnd(ResponseCheck &check, const ResponseEnd &end)
{
    const Request &request = check.request;
    if (end.id != request.id || end.entryIncarnation != request.entryIncarnation
        || end.workspace != request.workspace) {
        return failure(ErrorCode::Corrupt, "the answer belongs to another request");
    }
    if (check.ended) {
        return failure(ErrorCode::Corrupt, "the answer ended twice");
    }
    check.ended = true;
    if (end.outcome != Outcome::Answered) {
        return {};
    }
    if (end.manifest != request.manifest) {
        return failure(ErrorCode::Corrupt, "another version answered");
    }
    if (end.parts != check.nextIndex || end.bytes != check.bytes) {
        return failure(ErrorCode::Corrupt, "the answer is truncated");
    }
    return {};
}

} // namespace ibislock::requests
