#include "ibislock/feed/state_currency.h"

namespace ibislock::feed
{

bool isStateCurrent(const OperatorsKnowledge &knowledge, Millis stateTime, Millis now)
{
    return !knowledge.behind && !knowledge.storeUnreachable && now - knowledge.endKnownAt <= stateTime;
}

} // namespace ibislock::feed
