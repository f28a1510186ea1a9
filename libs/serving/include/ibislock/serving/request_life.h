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
    Lost, ///< Its send is over, and it may have run.
    FirstEvent, ///< The first part of an answer goes to the caller.
    Whole, ///< The whole answer is here.
    GiveUp, ///< It is not sent again.
};

/// Names of the events in the chart.
inline constexpr NameTable<RequestEvent, 6> RequestEventNames{{
    {RequestEvent::Send, "send"},
    {RequestEvent::Refused, "refused"},
    {RequestEvent::Lost, "lost"},
    {RequestEvent::FirstEvent, "first_event"},
    {RequestEvent::Whole, "whole"},
    {RequestEvent::GiveUp, "give_up"},
}};

/// What is said to the caller.
enum class RequestAction {
    None,
    Answer, ///< The target's answer, or its rest.
    AnswerNotRun, ///< A refusal which promises that it did not run and will not.
    AnswerUnknown, ///< A failure that promises nothing.
    CutOff, ///< The connection ends within the answer.
};

/// Names of the actions in the chart; an event without an action has an empty one.
inline constexpr NameTable<RequestAction, 5> RequestActionNames{{
    {RequestAction::None, ""},
    {RequestAction::Answer, "answer"},
    {RequestAction::AnswerNotRun, "answer_not_run"},
    {RequestAction::AnswerUnknown, "answer_unknown"},
    {RequestAction::CutOff, "cut_off"},
}};

/// Where a request stands.
struct RequestLife
{
    std::string state = "unsent";
};

/// Takes an event.
/// @return what is said to the caller.
RequestAction advance(RequestLife &life, RequestEvent event);

/// Tells whether requests of a kind may run more than once.
/// @param resumable whether streams of the route may be resumed.
bool mayRunTwice(RequestKind kind, bool resumable);

/// Tells whether a request may be sent now: what may have run is sent again only if its kind allows to run it twice.
bool maySend(const RequestLife &life, RequestKind kind, bool resumable);

/// Tells whether the caller has part of the answer.
bool hasBegun(const RequestLife &life);

} // namespace ibislock::serving
