#include "ibislock/serving/request_lifecycle.h"

#include "ibislock/base/state_chart.h"

namespace ibislock::serving
{

RequestAction advance(RequestLifecycle &life, RequestEvent event)
{
    const Transition &transition = transitionOf(embeddedChart("request"), life.state, nameOf(RequestEventNames, event));
    life.state = transition.next;
    return valueOf(RequestActionNames, transition.action).value_or(RequestAction::None);
}

bool mayRunTwice(RequestKind kind, bool resumable)
{
    return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable);
}

bool maySend(const RequestLifecycle &life, RequestKind kind, bool resumable)
{
    const bool mayHaveRun = life.state == "unknown" || life.state == "broken";
    return life.state == "unsent" || (mayHaveRun && mayRunTwice(kind, resumable));
}

bool responseStarted(const RequestLifecycle &life)
{
    return life.state == "begun" || life.state == "broken";
}

} // namespace ibislock::serving
