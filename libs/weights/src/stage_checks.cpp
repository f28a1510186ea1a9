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

bool mayOrderLoad(const StageChecks &checks, std::size_t pieces, Millis now)
{
    return checks.checkedAt.size() == pieces && now <= orderDeadline(checks);
}

Millis orderDeadline(const StageChecks &checks)
{
    return oldestCheck(checks).value_or(Millis{0}) + MaxCheckAgeAtOrder;
}

bool isLoadProven(const StageChecks &checks, std::size_t pieces, Millis acceptedBy)
{
    const std::optional<Millis> oldest = oldestCheck(checks);
    return checks.checkedAt.size() == pieces && oldest && acceptedBy - *oldest <= MaxCheckAgeAtResponse;
}

int stageReadsAtOnce(std::size_t pieces, Millis readTime)
{
    constexpr Millis Goal = MaxCheckAgeAtOrder / 3;
    const auto inTurn = readTime.count() * static_cast<std::int64_t>(pieces);
    return static_cast<int>(std::clamp<std::int64_t>((inTurn + Goal.count() - 1) / Goal.count(), 1, MaxStageReads));
}

} // namespace ibislock::weights
