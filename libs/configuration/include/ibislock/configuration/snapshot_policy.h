// Decides when a VM appends a snapshot of the folded state to the log.
//
// No VM owns the task. Every entry VM detects by itself that a new snapshot is due. Each then waits for a different
// time, by a rank that depends on the state, and one that sees the snapshot of another VM meanwhile doesn't append its
// own.
//
//     SnapshotTracker tracker;
//     recordSnapshot(tracker, snapshot.next, now);             // for each snapshot that is read from the log
//     recordLogRange(tracker, page.first, page.next);
//     if (isSnapshotDue(tracker, options, now, rank)) { append(snapshot); }

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/configuration/record.h"

#include <optional>
#include <span>

namespace ibislock::configuration
{

/// Limits and intervals of the policy.
struct SnapshotOptions
{
    std::uint64_t recordsMax = 1024; ///< The maximum number of records between two snapshots.
    Millis interval{600000}; ///< The maximum time between snapshots; a small fraction of the log's retention.
    Millis rankDelay{300}; ///< Additional delay for each rank, in which the VM waits for the others.
    std::uint64_t retentionDivisor = 6; ///< A snapshot is due after 1/n of the retained records.
};

/// What a VM knows of the log's range and of its newest snapshot.
struct SnapshotTracker
{
    Offset first = 0; ///< Offset of the oldest record that the log retains.
    Offset next = 0; ///< Offset of the end of the log.
    Offset snapshotEnd = 0; ///< The first offset that the newest snapshot doesn't include.
    Millis snapshotSeenAt{0}; ///< When the newest snapshot was read, or when tracking started.
    std::optional<Millis> dueSince; ///< Since when the next snapshot has been due, if it is.
};

/// Records the range of offsets that the log holds.
void recordLogRange(SnapshotTracker &tracker, Offset first, Offset next);

/// Records a snapshot that was read from the log.
/// @param next the first offset that the snapshot doesn't include.
void recordSnapshot(SnapshotTracker &tracker, Offset next, Millis now);

/// Returns the number of records after the newest snapshot at which the next one is due.
std::uint64_t snapshotSpacing(const SnapshotTracker &tracker, const SnapshotOptions &options);

/// Tells whether this VM should append a snapshot now.
/// @param rank the VM's position among the VMs that may append one; see `snapshotRank`.
bool isSnapshotDue(SnapshotTracker &tracker, const SnapshotOptions &options, Millis now, std::size_t rank);

/// Returns a VM's position among the VMs that may append the next snapshot, starting at 0. The order changes with every
/// snapshot.
std::size_t snapshotRank(std::string_view vm, std::span<const std::string> vms, Offset covered);

} // namespace ibislock::configuration
