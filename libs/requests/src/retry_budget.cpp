#include "ibislock/requests/retry_budget.h"

#include <algorithm>

namespace ibislock::requests
{

void recordFirstAttempt(RetryBudget &budget)
{
    budget.available = std::min(budget.available + budget.ratio, budget.burst);
}

bool tryConsumeRetry(RetryBudget &budget)
{
    if (budget.available < 1) {
        return false;
    }
    budget.available -= 1;
    return true;
}

} // namespace ibislock::requests
