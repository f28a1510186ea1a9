#include "ibislock/serving/attempt.h"

#include "ibislock/serving/placement.h"

#include <algorithm>

namespace ibislock::serving
{

namespace
{

/// Returns whether a listing is of the incarnation that an attempt was sent to.
bool wasSentTo(const Attempt &attempt, const TargetEntry &entry)
{
    return entry.startedAt == attempt.targetStartedAt && entry.address == attempt.targetAddress;
}

} // namespace

Attempt startAttempt(const Target &target, bool engine, Millis now)
{
    return {.targetId = target.entry.id,
            .targetAddress = target.entry.address,
            .targetStartedAt = target.entry.startedAt,
            .weightsVersion = engine ? knownVersion(target, now) : 0,
            .sentAt = now};
}

Target *targetOf(TargetTable &table, const Attempt &attempt)
{
    const auto it = table.targets.find(attempt.targetId);
    return it != table.targets.end() && wasSentTo(attempt, it->second.entry) ? &it->second : nullptr;
}

const Target *targetOf(const TargetTable &table, const Attempt &attempt)
{
    const auto it = table.targets.find(attempt.targetId);
    return it != table.targets.end() && wasSentTo(attempt, it->second.entry) ? &it->second : nullptr;
}

SendObstacle obstacleOf(const TargetTable &table, const Attempt &attempt, const PlacementDomains &domains)
{
    const Target *target = targetOf(table, attempt);
    if (target == nullptr) {
        return SendObstacle::Unlisted;
    }
    switch (exclusionOf(domains, closedAddresses(table, domains), target->entry)) {
    case DomainExclusion::Residency:
        return SendObstacle::Residency;
    case DomainExclusion::Evacuated:
        return SendObstacle::Evacuated;
    case DomainExclusion::None:
        break;
    }
    return target->entry.draining || target->signals.draining ? SendObstacle::Draining : SendObstacle::None;
}

void withdrawAttempt(TargetTable &table, const Attempt &attempt)
{
    if (Target *target = targetOf(table, attempt)) {
        target->inFlight = std::max(0, target->inFlight - 1);
        return;
    }
    const auto it = table.retainedTargets.find(attempt.targetId);
    if (it != table.retainedTargets.end() && it->second.signals.startedAt == attempt.targetStartedAt
        && it->second.address == attempt.targetAddress) {
        it->second.inFlight = std::max(0, it->second.inFlight - 1);
    }
}

void endAttempt(TargetTable &table, const Attempt &attempt, bool success, Millis now)
{
    withdrawAttempt(table, attempt);
    if (Target *target = targetOf(table, attempt)) {
        recordEnd(*target, now);
        recordOutcome(*target, success, now);
    }
}

void recordSignOfLife(TargetTable &table, const Attempt &attempt, Millis now)
{
    if (Target *target = targetOf(table, attempt)) {
        target->heardAt = now;
        target->health = target->health.silent ? TargetHealth{} : target->health;
        if (target->cold) {
            recordHeard(*target->cold, attempt.sentAt, now);
        }
    }
}

void recordConnectionLoss(TargetTable &table, const Attempt &attempt, bool connected, Millis now)
{
    if (Target *target = targetOf(table, attempt); target != nullptr && target->cold) {
        recordConnectionLoss(*target->cold, connected || now - attempt.sentAt < RefusalTime, now);
    }
}

void recordSilence(TargetTable &table, const Attempt &attempt, Millis now)
{
    if (Target *target = targetOf(table, attempt)) {
        recordOutcome(*target, /*success=*/false, now);
        target->health.silent = true;
    }
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
