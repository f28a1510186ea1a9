#include "ibislock/serving/request_lifecycle.h"

#include "ibislock/base/state_chart.h"

namespace ibislock::serving
{

RequestAction advance(RequestLifecycle &lifecycle, RequestEvent event)
{
    const Transition &transition =
        transitionOf(embeddedChart("request"), lifecycle.state, nameOf(RequestEventNames, event));
    lifecycle.state = transition.next;
    return valueOf(RequestActionNames, transition.action).value_or(RequestAction::None);
}

bool mayRunTwice(RequestKind kind, bool resumable)
{
    return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable);
}

bool maySend(const RequestLifecycle &lifecycle, RequestKind kind, bool resumable)
{
    const bool mayHaveRun = lifecycle.state == "unknown" || lifecycle.state == "broken";
    return lifecycle.state == "unsent" || (mayHaveRun && mayRunTwice(kind, resumable));
}

bool responseStarted(const RequestLifecycle &lifecycle)
{
    return lifecycle.state == "begun" || lifecycle.state == "broken";
}

} // namespace ibislock::serving
