#include "ibislock/configuration/snapshot_policy.h"

#include <algorithm>

namespace ibislock::configuration
{

namespace
{

constexpr std::uint64_t SpacingMin = 4;

/// The spacing while the log has dropped nothing yet, so that its retention is not known.
constexpr std::uint64_t FirstSpacing = 16;

Digest scoreOf(std::string_view vm, Offset covered)
{
    return sha256(std::string(vm) + "/" + std::to_string(covered));
}

} // namespace

void recordLogRange(SnapshotTracker &watch, Offset first, Offset next)
{
    watch.first = std::max(watch.first, first);
    watch.next = std::max(watch.next, next);
}

void recordSnapshot(SnapshotTracker &watch, Offset next, Millis now)
{
    if (next < watch.snapshotEnd) {
        return;
    }
    watch.snapshotEnd = next;
    watch.snapshotSeenAt = now;
    watch.dueSince.reset();
}

std::uint64_t snapshotSpacing(const SnapshotTracker &watch, const SnapshotOptions &options)
{
    if (watch.first == 0) {
        return std::clamp(watch.snapshotEnd, std::min(FirstSpacing, options.recordsMax), options.recordsMax);
    }
    const std::uint64_t retained = watch.next - watch.first;
    return std::clamp(retained / options.retentionDivisor, SpacingMin, std::max(SpacingMin, options.recordsMax));
}

bool isSnapshotDue(SnapshotTracker &watch, const SnapshotOptions &options, Millis now, std::size_t rank)
{
    const bool byRecords = watch.next - std::min(watch.next, watch.snapshotEnd) >= snapshotSpacing(watch, options);
    const bool byTime = watch.next > 0 && now - watch.snapshotSeenAt >= options.interval;
    const bool isUncovered = watch.snapshotEnd < watch.first;
    if (!byRecords && !byTime && !isUncovered) {
        watch.dueSince.reset();
        return false;
    }
    if (!watch.dueSince) {
        watch.dueSince = now;
    }
    if (now - *watch.dueSince < options.rankDelay * static_cast<std::int64_t>(rank)) {
        return false;
    }
    // After an append whose outcome is not known the VM waits for its turn again.
    watch.dueSince = now + options.rankDelay;
    return true;
}

std::size_t snapshotRank(std::string_view vm, std::span<const std::string> vms, Offset covered)
{
    const Digest own = scoreOf(vm, covered);
    return static_cast<std::size_t>(std::count_if(vms.begin(), vms.end(), [&](const std::string &other) {
        return other != vm && scoreOf(other, covered) < own;
    }));
}

} // namespace ibislock::configuration
