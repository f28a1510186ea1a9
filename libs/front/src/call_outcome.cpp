#include "ibislock/front/call_outcome.h"

namespace ibislock::front
{

std::string_view explanationOf(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Answered:
        return "The target's complete response was forwarded; an error in it is the target's own.";
    case CallOutcome::Stopping:
        return "It did not run: the entry VM was shutting down and would not have finished it in time.";
    case CallOutcome::NoDesiredState:
        return "It did not run: the entry VM had no desired state.";
    case CallOutcome::StateNotCurrent:
        return "It did not run: the desired state in effect has no route or key for it, and the entry VM may not have "
               "had "
               "the latest one; see state_age_ms, and the lines of the store.";
    case CallOutcome::BadRequest:
        return "It did not run: a header had an invalid value.";
    case CallOutcome::NoRoute:
        return "It did not run: no route of the desired state in effect matched its host and path.";
    case CallOutcome::UnknownKey:
        return "It did not run: no workspace of the desired state in effect has its API key.";
    case CallOutcome::NoTarget:
        return "It did not run: no target of its service was usable or reachable; check the targets' listings and "
               "whether weights are being loaded.";
    case CallOutcome::NotPermitted:
        return "It did not run: its route and workspace allow only regions in which no target of its service is "
               "listed, or have none in common; see regions and outside_regions, and the section [regions] of the "
               "settings.";
    case CallOutcome::Full:
        return "It did not run: all usable targets of its service were full.";
    case CallOutcome::TargetsBackingOff:
        return "It did not run: all usable targets of its service had requested a backoff with Retry-After.";
    case CallOutcome::Quarantined:
        return "It did not run: several targets have crashed under this request or under a part of its prompt, which "
               "is named in the line \"A request crashes targets.\" or \"A part of prompts crashes engines.\".";
    case CallOutcome::NotExecuted:
        return "It did not run: the targets that received it reported that they did not execute it.";
    case CallOutcome::ExpiredBeforeSend:
        return "It did not run: its deadline was too close or had passed before it could be sent to a target.";
    case CallOutcome::Unknown:
        return "Whether it ran is unknown: it was sent, and the target's response was lost, incomplete or not its own.";
    case CallOutcome::StreamTruncated:
        return "Its stream was aborted after its first event: no attempt was in progress any more, and no other target "
               "could "
               "continue the stream; last_failure says how the last attempt failed.";
    case CallOutcome::TimedOut:
        return "Whether it ran is unknown: it was sent, and its deadline passed before the response was complete.";
    case CallOutcome::CallerDisconnected:
        return "The caller disconnected before the end of the response; the target was notified by closing its "
               "connection.";
    }
    return "Unknown outcome.";
}

} // namespace ibislock::front
