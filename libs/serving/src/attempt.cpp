#include "ibislock/serving/attempt.h"

#include "ibislock/serving/placement.h"

namespace ibislock::serving
{

Attempt startAttempt(const Target &target, bool engine, Millis now)
{
    return {.targetId = target.entry.id,
            .targetStartedAt = target.entry.startedAt,
            .weightsVersion = engine ? knownVersion(target, now) : 0,
            .sentAt = now};
}

Target *targetOf(TargetTable &table, const Attempt &attempt)
{
    const auto it = table.targets.find(attempt.targetId);
    const bool listed = it != table.targets.end() && it->second.entry.startedAt == attempt.targetStartedAt;
    return listed ? &it->second : nullptr;
}

const Target *targetOf(const TargetTable &table, const Attempt &attempt)
{
    const auto it = table.targets.find(attempt.targetId);
    const bool listed = it != table.targets.end() && it->second.entry.startedAt == attempt.targetStartedAt;
    return listed ? &it->second : nullptr;
}

bool mayStartOnRetiredWeights(const Attempt &attempt, const TargetTable &table, std::int64_t required, Millis now)
{
    const bool usesWeights = attempt.weightsVersion > 0;
    if (!usesWeights || attempt.responseStarted || attempt.weightsVersion >= required) {
        return false;
    }
    const Target *target = targetOf(table, attempt);
    return target == nullptr || knownVersion(*target, now) < required;
}

} // namespace ibislock::serving
