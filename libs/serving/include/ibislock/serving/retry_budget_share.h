// The share that one entry VM has of the budget of repeated sends that all share. No messages are needed: each takes
// its part of the fixed allowance, and the ratio of its own requests. Answers a fault that makes many sends fail at
// once, when repeating all of them would keep the targets overloaded.
//
//     RetryShare share{.ratio = 0.2, .allowance = 104, .entryVms = 8, .window = Millis{10000}};
//     noteRequest(share, "service", now);
//     if (drawRetry(share, "service", now)) { ... }

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace ibislock::serving
{

/// What one service has used.
struct RetryUsage
{
    std::deque<Millis> requests;
    std::deque<Millis> retries;
};

/// One entry VM's share of the budget.
struct RetryBudgetShare
{
    double ratio = 0; ///< Repeated sends for each request in a window.
    double allowance = 0; ///< Repeated sends in a window beyond that, of all entry VMs together.
    int entryVms = 1; ///< How many share the allowance.
    Millis window{10000};
    std::map<std::string, RetryUsage, std::less<>> services;
};

/// The part of the budget that is used; the rest is room for entry VMs that came or went unnoticed.
inline constexpr double UsableFraction = 0.7;

/// Counts a request to a service.
void recordRequest(RetryBudgetShare &share, std::string_view service, Millis now);

/// How many repeated sends the budget allows now.
std::int64_t retriesLeft(RetryBudgetShare &share, std::string_view service, Millis now);

/// Draws one repeated send.
/// @return whether the budget has one.
bool tryConsumeRetry(RetryBudgetShare &share, std::string_view service, Millis now);

} // namespace ibislock::serving
