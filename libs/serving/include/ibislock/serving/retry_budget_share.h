// One entry VM's share of the retry budget, which limits retries when a fault makes many attempts fail at once and
// retrying all of them would keep the targets overloaded. The entry VMs exchange no messages for it: each uses an equal
// share of the fixed allowance, and the retry ratio on its own requests.
//
//     RetryBudgetShare share{.ratio = 0.2, .allowance = 104, .entryVms = 8, .window = Millis{10000}};
//     recordRequest(share, "service", now);
//     if (tryConsumeRetry(share, "service", now)) { ... }

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace ibislock::serving
{

/// Times of the requests and retries of one service within the window.
struct RetryUsage
{
    std::deque<Millis> requests;
    std::deque<Millis> retries;
};

/// One entry VM's share of the retry budget.
struct RetryBudgetShare
{
    double ratio = 0; ///< Retries per request in a window.
    double allowance = 0; ///< Retries in a window beyond the ratio, of all entry VMs together.
    int entryVms = 1; ///< Number of entry VMs that share the allowance.
    Millis window{10000};
    std::map<std::string, RetryUsage, std::less<>> services;
};

/// Fraction of the budget that is used; the rest is a margin for entry VMs that joined or left unnoticed.
inline constexpr double UsableFraction = 0.7;

/// Counts a request to a service.
void recordRequest(RetryBudgetShare &share, std::string_view service, Millis now);

/// Returns how many retries the budget allows now.
std::int64_t retriesLeft(RetryBudgetShare &share, std::string_view service, Millis now);

/// Consumes one retry of the budget, if any is left.
/// @return whether the retry is allowed.
bool tryConsumeRetry(RetryBudgetShare &share, std::string_view service, Millis now);

} // namespace ibislock::serving
