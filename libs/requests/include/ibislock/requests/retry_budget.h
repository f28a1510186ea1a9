// Limits the extra load of retries to a tenth of the first attempts, so that retries can't sustain an overload.
//
//     RetryBudget budget;
//     recordFirstAttempt(budget);
//     if (tryConsumeRetry(budget)) { ... }

#pragma once

namespace ibislock::requests
{

/// A budget of retries. First attempts refill it, retries consume it.
struct RetryBudget
{
    double ratio = 0.1; ///< Retries that each first attempt adds.
    double burst = 5; ///< The maximum number of retries that can accumulate.
    double available = 5;
};

/// Refills the budget for a first attempt.
void recordFirstAttempt(RetryBudget &budget);

/// Consumes a retry from the budget.
/// @return whether the budget had a retry left.
bool tryConsumeRetry(RetryBudget &budget);

} // namespace ibislock::requests
