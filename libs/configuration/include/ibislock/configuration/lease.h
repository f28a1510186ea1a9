// The lease by which a process holds its VM's slot, and which allows it to act on the VM.
//
// A process claims the slot by appending a record to the log; the offset of the record is the fencing token. The claim
// is valid until another claim replaces it. The holder may act only if a read of the log that started less than the
// lease's duration ago, on its own clock, has confirmed that its claim is valid. A holder that was paused finds that
// its confirmation has expired, and reads the log again before it acts.
//
//     Lease lease{.vm = "t1", .incarnation = 7};
//     if (auto claim = claimToAppend(lease, state)) { append(*claim); }
//     applyLogRead(lease, state, readStartedAt);
//     if (mayAct(lease, options, now)) { sendCommand(lease.fencingToken); }

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/configuration/state.h"

namespace ibislock::configuration
{

/// Options of a lease.
struct LeaseOptions
{
    Millis duration{5000}; ///< How long a confirmation is valid.
};

/// The status of a process's lease.
enum class LeaseStatus {
    Claiming, ///< The process has not yet held the slot.
    Held, ///< The claim of the process was valid at the last confirmation.
    Lost, ///< Another claim replaced that of the process, which never acts again.
};

/// Names of the statuses, which are the states of charts/lease.chart.
inline constexpr NameTable<LeaseStatus, 3> LeaseStatusNames{{
    {LeaseStatus::Claiming, "claiming"},
    {LeaseStatus::Held, "held"},
    {LeaseStatus::Lost, "lost"},
}};

/// The lease of a VM's slot by one process.
struct Lease
{
    std::string vm;
    std::uint64_t incarnation = 0;
    LeaseStatus status = LeaseStatus::Claiming;
    Offset fencingToken = 0; ///< The offset of the process's claim, once the lease is held.
    Millis confirmedAt{0}; ///< When the newest read of the log that confirmed the claim started.

    bool operator==(const Lease &) const = default;
};

/// Returns the claim that a process has to append in order to acquire the slot.
/// @param state the state up to the end of the log, as the process knows it.
/// @return the claim, or nothing if the process holds the slot or has lost it.
std::optional<ClaimRecord> claimToAppend(const Lease &lease, const State &state);

/// Updates a lease after a read of the log that reached its end: confirms the claim if it is valid, or marks the lease
/// as lost if another claim has replaced it.
/// @param state the state after the read.
/// @param readStartedAt when the read started, on the process's clock.
void applyLogRead(Lease &lease, const State &state, Millis readStartedAt);

/// Tells whether the process may send a command that carries its fencing token.
bool mayAct(const Lease &lease, const LeaseOptions &options, Millis now);

} // namespace ibislock::configuration
