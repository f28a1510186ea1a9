// Bounds the extra load that retries make: a tenth of the first attempts, so that retries can't keep a fault alive.
//
//     RetryBudget budget;
//     noteFirstAttempt(budget);
//     if (mayRetry(budget)) { ... }

#pragma once

namespace ibislock::requests
{

/// A budget of retries. First attempts fill it, retries draw from it.
struct RetryBudget
{
    double ratio = 0.1; ///< Retries for each first attempt.
    double burst = 5; ///< Retries that can be saved up.
    double available = 5;
};

/// Counts a first attempt.
void recordFirstAttempt(RetryBudget &budget);

/// Draws a retry.
/// @return whether the budget had one.
bool tryConsumeRetry(RetryBudget &budget);

} // namespace ibislock::requests
