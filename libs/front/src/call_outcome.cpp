#include "ibislock/front/call_outcome.h"

namespace ibislock::front
{

std::string_view explanationOf(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Answered:
        return "The target's whole answer was handed over; a failure in it is the target's own.";
    case CallOutcome::Stopping:
        return "It did not run: the entry VM was being stopped and would not have finished it.";
    case CallOutcome::NoDesiredState:
        return "It did not run: the entry VM knew no desired state, or could not read the newest one.";
    case CallOutcome::BadRequest:
        return "It did not run: a header had an impossible value.";
    case CallOutcome::NoRoute:
        return "It did not run: no route of the desired state in force covers its host and path.";
    case CallOutcome::UnknownKey:
        return "It did not run: no workspace of the desired state in force holds its key.";
    case CallOutcome::NoTarget:
        return "It did not run: no target of its service could be used or reached; look at the targets' listings, and "
               "at loads of weights in progress.";
    case CallOutcome::Full:
        return "It did not run: all usable targets of its service were full.";
    case CallOutcome::TargetsBackingOff:
        return "It did not run: all usable targets of its service had asked for a pause with Retry-After.";
    case CallOutcome::NotExecuted:
        return "It did not run: the targets that were asked refused it and said so.";
    case CallOutcome::ExpiredBeforeSend:
        return "It did not run: too little of its time was left when a target became free.";
    case CallOutcome::Unknown:
        return "Whether it ran is unknown: it was sent, and the target's answer was lost, cut off or not its own.";
    case CallOutcome::StreamTruncated:
        return "Its stream broke off after its first event: the target's connection ended, and it could not go on "
               "elsewhere.";
    case CallOutcome::TimedOut:
        return "Whether it ran is unknown: it was sent, and its time ran out before the answer came.";
    case CallOutcome::CallerDisconnected:
        return "The caller left before the end of the answer; the target was told by closing its connection.";
    }
    return "An outcome without an explanation.";
}

} // namespace ibislock::front
