// What is known of a request on its way, as charts/request.chart says: whether a target may have run it, whether its
// caller has part of the answer, and what may therefore be sent and said.
//
//     RequestLife life;
//     advance(life, RequestEvent::Send);
//     advance(life, RequestEvent::Lost);
//     advance(life, RequestEvent::GiveUp);      // RequestAction::AnswerUnknown

#pragma once

#include "ibislock/base/names.h"
#include "ibislock/serving/desired_state.h"

#include <string>

namespace ibislock::serving
{

/// What happens to a request.
enum class RequestEvent {
    Send, ///< It is sent to a target.
    Refused, ///< No target read it, or its target did not execute it.
    OutcomeUnknown, ///< Its send is over, and it may have run.
    ResponseStarted, ///< The first part of an answer goes to the caller.
    ResponseComplete, ///< The whole answer is here.
    StopRetrying, ///< It is not sent again.
};

/// Names of the events in the chart.
inline constexpr NameTable<RequestEvent, 6> RequestEventNames{{
    {RequestEvent::Send, "send"},
    {RequestEvent::Refused, "refused"},
    {RequestEvent::OutcomeUnknown, "lost"},
    {RequestEvent::ResponseStarted, "first_event"},
    {RequestEvent::ResponseComplete, "whole"},
    {RequestEvent::StopRetrying, "give_up"},
}};

/// What is said to the caller.
enum class RequestAction {
    None,
    ForwardResponse, ///< The target's answer, or its rest.
    RespondNotRun, ///< A refusal which promises that it did not run and will not.
    RespondOutcomeUnknown, ///< A failure that promises nothing.
    AbortConnection, ///< The connection ends within the answer.
};

/// Names of the actions in the chart; an event without an action has an empty one.
inline constexpr NameTable<RequestAction, 5> RequestActionNames{{
    {RequestAction::None, ""},
    {RequestAction::ForwardResponse, "answer"},
    {RequestAction::RespondNotRun, "answer_not_run"},
    {RequestAction::RespondOutcomeUnknown, "answer_unknown"},
    {RequestAction::AbortConnection, "cut_off"},
}};

/// Where a request stands.
struct RequestLifecycle
{
    std::string state = "unsent";
};

/// Takes an event.
/// @return what is said to the caller.
RequestAction advance(RequestLifecycle &life, RequestEvent event);

/// Tells whether requests of a kind may run more than once.
/// @param resumable whether streams of the route may be resumed.
bool mayRunTwice(RequestKind kind, bool resumable);

/// Tells whether a request may be sent now: what may have run is sent again only if its kind allows to run it twice.
bool maySend(const RequestLifecycle &life, RequestKind kind, bool resumable);

/// Tells whether the caller has part of the answer.
bool responseStarted(const RequestLifecycle &life);

} // namespace ibislock::serving
