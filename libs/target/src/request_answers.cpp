#include "request_answers.h"

namespace ibislock::target
{

using requests::Outcome;
using requests::Refusal;
using requests::Request;
using requests::ResponseEnd;

ResponseEnd endFor(const Request &request, Outcome outcome, std::string message)
{
    return {.id = request.id,
            .entryIncarnation = request.entryIncarnation,
            .workspace = request.workspace,
            .manifest = request.manifest,
            .outcome = outcome,
            .message = std::move(message)};
}

ResponseEnd refusalFor(const Request &request, Refusal refusal, std::string message, Millis retryAfter)
{
    ResponseEnd end = endFor(request, Outcome::RefusedNotRun, std::move(message));
    end.refusal = refusal;
    end.retryAfter = retryAfter;
    return end;
}

ResponseEnd judge(const Request &request, const engine::EngineAnswer &answer)
{
    if (!answer.started) {
        return refusalFor(request, Refusal::NotServing, answer.message, Millis(0));
    }
    if (!answer.whole || answer.status == 0) {
        // A call that must not be repeated may have taken full effect, however its answer broke off.
        const bool mayHaveEnded = answer.status == 0 || !request.idempotent;
        return endFor(request, mayHaveEnded ? Outcome::Unknown : Outcome::FailedAfterStart, answer.message);
    }
    if (answer.root != request.manifest) {
        return endFor(request, Outcome::FailedAfterStart, "the engine answered with other weights");
    }
    if (request.resumeFrom != answer.resumedFrom) {
        return endFor(request, Outcome::FailedAfterStart, "the engine can't resume the stream there");
    }
    ResponseEnd end = endFor(request, Outcome::Answered, answer.message);
    end.status = answer.status;
    end.contentType = answer.contentType;
    end.cachedBytes = answer.cachedBytes;
    return end;
}

} // namespace ibislock::target
