// State machine of one request at an entry VM, as defined in charts/request.chart: whether a target may have executed
// it, whether the caller has received part of the response, and therefore whether it may be sent again and what the
// caller may be told.
//
//     RequestLifecycle lifecycle;
//     advance(lifecycle, RequestEvent::Send);
//     advance(lifecycle, RequestEvent::OutcomeUnknown);
//     advance(lifecycle, RequestEvent::StopRetrying);      // RequestAction::RespondOutcomeUnknown

#pragma once

#include "ibislock/base/names.h"
#include "ibislock/serving/desired_state.h"

#include <string>

namespace ibislock::serving
{

/// Events in the lifecycle of a request.
enum class RequestEvent {
    Send, ///< The request is sent to a target.
    Refused, ///< No target read the request, or its target did not execute it.
    OutcomeUnknown, ///< The attempt has ended, and the target may have executed the request.
    AllRefused, ///< No attempt is in progress, and no target executed any of them.
    ResponseStarted, ///< The first part of a response is forwarded to the caller.
    ResponseComplete, ///< The complete response was received.
    StopRetrying, ///< No further attempt is made.
};

/// Names of the events in the chart.
inline constexpr NameTable<RequestEvent, 7> RequestEventNames{{
    {RequestEvent::Send, "send"},
    {RequestEvent::Refused, "refused"},
    {RequestEvent::OutcomeUnknown, "lost"},
    {RequestEvent::AllRefused, "all_refused"},
    {RequestEvent::ResponseStarted, "first_event"},
    {RequestEvent::ResponseComplete, "whole"},
    {RequestEvent::StopRetrying, "give_up"},
}};

/// What the caller receives.
enum class RequestAction {
    None,
    ForwardResponse, ///< The target's response, or the rest of it.
    RespondNotRun, ///< A refusal which guarantees that the request was not executed and will not be.
    RespondOutcomeUnknown, ///< A failure which leaves open whether the request was executed.
    AbortConnection, ///< The connection is closed within the response.
};

/// Names of the actions in the chart; an event without an action has an empty one.
inline constexpr NameTable<RequestAction, 5> RequestActionNames{{
    {RequestAction::None, ""},
    {RequestAction::ForwardResponse, "answer"},
    {RequestAction::RespondNotRun, "answer_not_run"},
    {RequestAction::RespondOutcomeUnknown, "answer_unknown"},
    {RequestAction::AbortConnection, "cut_off"},
}};

/// The state of one request.
struct RequestLifecycle
{
    std::string state = "unsent"; ///< Name of the state in the chart.
};

/// Advances the state machine by an event.
/// @return what the caller receives.
RequestAction advance(RequestLifecycle &lifecycle, RequestEvent event);

/// Returns whether requests of a kind may be executed more than once.
/// @param resumable whether streams of the route may be resumed.
bool mayRunTwice(RequestKind kind, bool resumable);

/// Returns whether a request may be sent now: one that may have been executed is sent again only if its kind allows it
/// to be executed twice.
bool maySend(const RequestLifecycle &lifecycle, RequestKind kind, bool resumable);

/// Returns whether the caller has received part of the response, but not all of it.
bool responseStarted(const RequestLifecycle &lifecycle);

} // namespace ibislock::serving
