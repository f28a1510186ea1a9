// When a VM appends a snapshot of the folded state to the log.
//
// No VM owns the task. Every entry VM sees when a new snapshot is due; they wait for different times, by a rank that
// depends on the state, and whoever sees another's snapshot first does nothing.
//
//     SnapshotWatch watch;
//     noteRecord(watch, offset, snapshotNext, now);             // for each record that is folded
//     notePage(watch, page.first, page.next);
//     if (isSnapshotDue(watch, options, now, rank)) { append(snapshot); }

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/configuration/record.h"

#include <optional>
#include <span>

namespace ibislock::configuration
{

/// Limits of the policy.
struct SnapshotOptions
{
    std::uint64_t recordsMax = 1024; ///< Records that may follow a snapshot before the next one.
    Millis interval{600000}; ///< The longest time between snapshots; a small part of the log's retention.
    Millis rankDelay{300}; ///< How much longer each further VM waits for the others.
    std::uint64_t retentionDivisor = 6; ///< A snapshot is due after this part of the records that the log keeps.
};

/// What a VM has seen of the log and its snapshots.
struct SnapshotTracker
{
    Offset first = 0; ///< The oldest record that the log still holds.
    Offset next = 0; ///< The end of the log.
    Offset snapshotEnd = 0; ///< Up to where the newest snapshot holds the state.
    Millis snapshotSeenAt{0}; ///< When that snapshot was seen, or the watch began.
    std::optional<Millis> dueSince;
};

/// Notes how far the log reaches.
void recordLogRange(SnapshotTracker &tracker, Offset first, Offset next);

/// Notes a snapshot that was read from the log.
/// @param next the first offset that is not part of the snapshot.
void recordSnapshot(SnapshotTracker &tracker, Offset next, Millis now);

/// Gives the number of records after the newest snapshot at which the next one is due.
std::uint64_t snapshotSpacing(const SnapshotTracker &tracker, const SnapshotOptions &options);

/// Tells whether this VM is to append a snapshot now.
/// @param rank the VM's place among those that may; see `snapshotRank`.
bool isSnapshotDue(SnapshotTracker &tracker, const SnapshotOptions &options, Millis now, std::size_t rank);

/// Gives a VM's place among the VMs that may append the next snapshot. The order changes with every snapshot.
std::size_t snapshotRank(std::string_view vm, std::span<const std::string> vms, Offset covered);

} // namespace ibislock::configuration
