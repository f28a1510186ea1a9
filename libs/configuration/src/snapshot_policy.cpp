#include "ibislock/configuration/snapshot_policy.h"

#include <algorithm>

namespace ibislock::configuration
{

namespace
{

/// The minimum number of records between two snapshots.
constexpr std::uint64_t RecordSpacingMin = 4;

/// The minimum number of records between two snapshots while the log has trimmed nothing, so its retention is unknown.
constexpr std::uint64_t UntrimmedSpacingMin = 16;

Digest rankHashOf(std::string_view vm, Offset covered)
{
    return sha256(std::string(vm) + "/" + std::to_string(covered));
}

} // namespace

void recordLogRange(SnapshotTracker &tracker, Offset first, Offset next)
{
    tracker.first = std::max(tracker.first, first);
    tracker.next = std::max(tracker.next, next);
}

void recordSnapshot(SnapshotTracker &tracker, Offset next, Millis now)
{
    if (next < tracker.snapshotEnd) {
        return;
    }
    tracker.snapshotEnd = next;
    tracker.snapshotSeenAt = now;
    tracker.dueSince.reset();
}

std::uint64_t snapshotSpacing(const SnapshotTracker &tracker, const SnapshotOptions &options)
{
    if (tracker.first == 0) {
        return std::clamp(tracker.snapshotEnd, std::min(UntrimmedSpacingMin, options.recordsMax), options.recordsMax);
    }
    const std::uint64_t retained = tracker.next - tracker.first;
    return std::clamp(retained / options.retentionDivisor, RecordSpacingMin,
                      std::max(RecordSpacingMin, options.recordsMax));
}

bool isSnapshotDue(SnapshotTracker &tracker, const SnapshotOptions &options, Millis now, std::size_t rank)
{
    const bool byRecords =
        tracker.next - std::min(tracker.next, tracker.snapshotEnd) >= snapshotSpacing(tracker, options);
    const bool byTime = tracker.next > 0 && now - tracker.snapshotSeenAt >= options.interval;
    const bool isUncovered = tracker.snapshotEnd < tracker.first;
    if (!byRecords && !byTime && !isUncovered) {
        tracker.dueSince.reset();
        return false;
    }
    if (!tracker.dueSince) {
        tracker.dueSince = now;
    }
    if (now - *tracker.dueSince < options.rankDelay * static_cast<std::int64_t>(rank)) {
        return false;
    }
    // The outcome of the append may be unknown, so the VM waits for its delay before it tries again.
    tracker.dueSince = now + options.rankDelay;
    return true;
}

std::size_t snapshotRank(std::string_view vm, std::span<const std::string> vms, Offset covered)
{
    const Digest own = rankHashOf(vm, covered);
    return static_cast<std::size_t>(std::count_if(vms.begin(), vms.end(), [&](const std::string &other) {
        return other != vm && rankHashOf(other, covered) < own;
    }));
}

} // namespace ibislock::configuration
