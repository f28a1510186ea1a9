// A VM's view of the membership: the platform's list of VMs, which lags, merged with the VMs' own reports.
//
//     View view{.domain = "north"};
//     applyVmList(view, listed, options, now);      // from the platform, seconds late
//     applyReport(view, report, options, now);      // from the VM itself
//     applyUpdate(view, update, options, now);      // from another VM
//     isUsable(*find(view, "t1"), options, now);
//
// The failure of a VM is detected by its delegates, a few entry VMs of its own failure domain; see delegates.h. The VM
// counts as unreachable once two of them have received nothing from it, since one of them may just have lost its
// network path. All other VMs rely on the delegates for as long as they receive updates from the domain, so that only
// changes need to be disseminated. Merging of updates is commutative, associative and idempotent, so it doesn't matter
// in which order, by which path and how often they arrive.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/membership/report.h"

#include <map>
#include <vector>

namespace ibislock::membership
{

/// The number of delegates that must suspect a VM before it counts as unreachable.
inline constexpr std::size_t SuspicionQuorum = 2;

/// A VM as listed by the platform.
struct ListedVm
{
    std::string vm;
    std::string domain;
    std::string address;
    VmKind kind = VmKind::Target;
    bool leaving = false;

    bool operator==(const ListedVm &) const = default;
};

/// Lifetimes and intervals of the view.
struct ViewOptions
{
    Millis reportLifetime{3000}; ///< How long information on a VM of the own domain is valid.
    Millis remoteLifetime{10000}; ///< How long information on a VM of another domain is valid.
    Millis loadInterval{2000}; ///< The minimum time between two updates on a VM that change only its load.
};

/// What the view holds on one VM.
struct Member
{
    ListedVm listed;
    bool isListed = false;
    Report report;
    bool hasReport = false;
    bool isRemote = false; ///< Whether the VM is in another failure domain.
    Millis reportedAt{0}; ///< The time as of which the information on the VM is valid.
    Millis heardAt{0}; ///< When this process last received something from the VM itself.
    bool hasHeard = false;
    std::uint64_t heardOffset = 0; ///< The offset up to which the VM had folded the log at `heardAt`.
    std::uint64_t heardTicket = 0; ///< The last ticket of the VM at its last heartbeat.
    std::set<std::string> suspectedBy;
    Millis suspectedAt{0}; ///< When this process last recorded a suspicion of the VM.
    std::uint64_t changeSequence = 0; ///< Sequence of the newest change to the VM, for VMs of the own domain.
    std::uint64_t remoteChangeSequence = 0; ///< Sequence of the newest change to the VM, for VMs of other domains.
    std::uint32_t loadClass = 0; ///< Class of the load in the last update.
    Millis loadReportedAt{0};
};

/// The membership as known to one VM.
struct View
{
    std::string domain; ///< The failure domain of the view's own VM.
    std::map<std::string, Member, std::less<>> members;
    /// For each domain, the time as of which its state is confirmed.
    std::map<std::string, Millis, std::less<>> domainsConfirmedAt;
    Millis listedAt{0};
    std::uint64_t changeSequence = 0; ///< The sequence of the newest change.
    std::uint64_t urgentChangeSequence = 0; ///< The sequence of the newest change that must be disseminated at once.
};

/// Applies the platform's list of VMs. A VM that it no longer contains is removed, unless there is a fresh report of
/// it.
void applyVmList(View &view, const std::vector<ListedVm> &listed, const ViewOptions &options, Millis now);

/// Applies a report that was received from the VM itself, if it is newer than the known one.
/// @return whether the report was applied.
bool applyReport(View &view, const Report &report, const ViewOptions &options, Millis now);

/// Applies a heartbeat that was received from the VM itself.
/// @return false if the report that the heartbeat belongs to is not known.
bool applyHeartbeat(View &view, const Heartbeat &heartbeat, const ViewOptions &options, Millis now);

/// Merges an update that was received from another VM.
void applyUpdate(View &view, const MembershipUpdate &update, const ViewOptions &options, Millis now);

/// Records that the state of a domain is confirmed as of some time, for all of its VMs except unreachable ones.
void refreshDomain(View &view, std::string_view domain, Millis asOf);

/// Records that delegates suspect a VM because they have received nothing from it.
void markSuspected(View &view, std::string_view vm, const std::set<std::string> &delegates, Millis now);

/// Merges two updates on the same VM.
MembershipUpdate mergedUpdate(const MembershipUpdate &a, const MembershipUpdate &b);

/// Collects the updates after a change sequence, oldest first.
/// @param isRemote whether the receiver is in another domain.
/// @param limit the maximum number of updates.
/// @param upTo is set to the change sequence up to which the updates are complete.
std::vector<MembershipUpdate> updatesAfter(const View &view, std::uint64_t after, bool isRemote, std::size_t limit,
                                           std::uint64_t &upTo);

/// Returns a hash that is equal for views with the same information on all VMs, apart from load and heartbeats.
std::uint64_t fingerprintOf(const View &view);

/// Finds a VM by its name.
/// @return the VM, or null if the view has none of that name.
const Member *find(const View &view, std::string_view vm);

/// Returns the address at which a VM accepts RPC: that of its own report, otherwise that of the platform's list.
const std::string &addressOf(const Member &member);

/// Tells whether a VM counts as unreachable, because enough delegates suspect it.
bool isUnreachable(const Member &member);

/// Tells whether new work may be sent to a VM.
bool isUsable(const Member &member, const ViewOptions &options, Millis now);

/// Tells whether a VM is listed by the platform and has not reported yet. Such a VM is counted when work is divided
/// among all VMs, but receives no requests.
bool isExpected(const Member &member);

} // namespace ibislock::membership
