#include "ibislock/weights/stage_checks.h"

#include <algorithm>

namespace ibislock::weights
{

void recordMatch(StageChecks &checks, int piece, Millis requestedAt)
{
    checks.checkedAt[piece] = requestedAt;
}

void discardCheck(StageChecks &checks, int piece)
{
    checks.checkedAt.erase(piece);
}

std::optional<Millis> oldestCheck(const StageChecks &checks)
{
    const auto it = std::min_element(checks.checkedAt.begin(), checks.checkedAt.end(),
                                     [](const auto &a, const auto &b) { return a.second < b.second; });
    return it == checks.checkedAt.end() ? std::nullopt : std::optional(it->second);
}

} // namespace ibislock::weights
