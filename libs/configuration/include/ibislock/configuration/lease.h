// Whether a process holds its VM's slot, and may act on it.
//
// A process claims the slot by a record in the log; the record's offset is the fencing number. The claim holds until
// another one replaces it. A holder may act only while it has confirmed, by a read of the log that began less than a
// lease's duration ago on its own clock, that its claim is in force; a holder that was paused finds its confirmation
// too old and reads the log again before it acts.
//
//     Lease lease{.vm = "t1", .incarnation = 7};
//     if (auto claim = claimToAppend(lease, state)) { append(*claim); }
//     confirm(lease, state, readBegan);
//     if (mayAct(lease, options, now)) { order(lease.fence); }

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/configuration/state.h"

namespace ibislock::configuration
{

/// Limits of a lease.
struct LeaseOptions
{
    Millis duration{5000}; ///< How long a confirmation counts.
};

/// Where a process stands.
enum class LeaseStatus {
    Claiming, ///< The process has not held the slot yet.
    Held, ///< The process's claim was in force at the last confirmation.
    Lost, ///< Another claim replaced the process's; it never acts again.
};

/// External names of the statuses, as in charts/lease.chart.
inline constexpr NameTable<LeaseStatus, 3> LeaseStatusNames{{
    {LeaseStatus::Claiming, "claiming"},
    {LeaseStatus::Held, "held"},
    {LeaseStatus::Lost, "lost"},
}};

/// One process's lease of its VM's slot.
struct Lease
{
    std::string vm;
    std::uint64_t incarnation = 0;
    LeaseStatus status = LeaseStatus::Claiming;
    Offset fencingToken = 0; ///< The offset of the process's claim, once held.
    Millis confirmedAt{0}; ///< When the newest read that confirmed the claim began.

    bool operator==(const Lease &) const = default;
};

/// Gives the claim that a process has to append to get the slot.
/// @param state the state up to the end of the log, as the process knows it.
/// @return the claim, or nothing when the process holds the slot or has lost it.
std::optional<ClaimRecord> claimToAppend(const Lease &lease, const State &state);

/// Takes in a read of the log that reached its end.
/// @param state the state after the read.
/// @param readBegan when the read began, on the process's clock.
void applyLogRead(Lease &lease, const State &state, Millis readStartedAt);

/// Tells whether the process may give an order that carries its fencing number.
bool mayAct(const Lease &lease, const LeaseOptions &options, Millis now);

} // namespace ibislock::configuration
