#include "ibislock/serving/retry_budget_share.h"

#include <algorithm>

namespace ibislock::serving
{

namespace
{

RetryUsage &usageOf(RetryBudgetShare &share, std::string_view service, Millis now)
{
    auto it = share.services.find(service);
    if (it == share.services.end()) {
        it = share.services.emplace(std::string(service), RetryUsage{}).first;
    }
    for (std::deque<Millis> *times : {&it->second.requests, &it->second.retries}) {
        while (!times->empty() && times->front() <= now - share.window) {
            times->pop_front();
        }
    }
    return it->second;
}

} // namespace

void recordRequest(RetryBudgetShare &share, std::string_view service, Millis now)
{
    usageOf(share, service, now).requests.push_back(now);
}

std::int64_t retriesLeft(RetryBudgetShare &share, std::string_view service, Millis now)
{
    const RetryUsage &usage = usageOf(share, service, now);
    const double ownAllowance = share.allowance / std::max(share.entryVms, 1);
    const double limit = UsableFraction * (ownAllowance + share.ratio * static_cast<double>(usage.requests.size()));
    return std::max<std::int64_t>(0,
                                  static_cast<std::int64_t>(limit) - static_cast<std::int64_t>(usage.retries.size()));
}

bool tryConsumeRetry(RetryBudgetShare &share, std::string_view service, Millis now)
{
    if (retriesLeft(share, service, now) == 0) {
        return false;
    }
    usageOf(share, service, now).retries.push_back(now);
    return true;
}

} // namespace ibislock::serving
