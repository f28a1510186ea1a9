// Who is there: the platform's lagging list of VMs combined with the VMs' own reports.
//
//     View view{.domain = "north"};
//     applyList(view, listed, options, now);    // from the platform, seconds late
//     applyReport(view, report, now);           // from the VM itself
//     applyNews(view, news, now);               // from a neighbour
//     isUsable(*find(view, "t1"), options, now);
//
// A VM is judged by its delegates, a few entry VMs of its own failure domain; see delegates.h. It counts as dead once
// two of them have heard nothing from it; one silent path is not enough. All other VMs take the delegates' word for as
// long as they hear from the domain, so that only changes need to travel. Merging news is commutative, associative and
// idempotent, whatever path they took.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/membership/report.h"

#include <map>
#include <vector>

namespace ibislock::membership
{

/// How many delegates must have heard nothing before a VM counts as dead.
inline constexpr std::size_t SuspicionQuorum = 2;

/// A VM as the platform lists it.
struct ListedVm
{
    std::string vm;
    std::string domain;
    std::string address;
    VmKind kind = VmKind::Target;
    bool leaving = false;

    bool operator==(const ListedVm &) const = default;
};

/// Limits of the view.
struct ViewOptions
{
    Millis reportLifetime{3000}; ///< How long the word on a VM of the own domain counts.
    Millis remoteLifetime{10000}; ///< How long the word on a VM of another domain counts.
    Millis loadInterval{2000}; ///< The shortest time between two pieces of news on a VM's load only.
};

/// What is known of one VM.
struct Member
{
    ListedVm listed;
    bool isListed = false;
    Report report;
    bool hasReport = false;
    bool isRemote = false; ///< In another failure domain.
    Millis reportedAt{0}; ///< As of when the word on the VM holds.
    Millis heardAt{0}; ///< When this process heard from the VM itself.
    bool hasHeard = false;
    std::uint64_t heardOffset = 0; ///< How far the VM had folded the log by then, and its last ticket.
    std::uint64_t heardTicket = 0;
    std::set<std::string> suspectedBy;
    Millis suspectedAt{0}; ///< When this process last said that it hears nothing.
    std::uint64_t changeSequence = 0; ///< The local change sequence of the newest news on the VM, for the own domain.
    std::uint64_t remoteChangeSequence = 0; ///< The same, for other domains.
    std::uint32_t loadClass = 0; ///< Of the load that the last news told.
    Millis loadReportedAt{0};
};

/// What is known of all VMs.
struct View
{
    std::string domain; ///< The own failure domain.
    std::map<std::string, Member, std::less<>> members;
    std::map<std::string, Millis, std::less<>> domainsConfirmedAt; ///< As of when the word on each other domain holds.
    Millis listedAt{0};
    std::uint64_t changeSequence = 0; ///< The newest change sequence.
    std::uint64_t urgentChangeSequence = 0; ///< The newest one that others have to learn of at once.
};

/// Takes over the platform's list. VMs that it no longer names and that are silent are forgotten.
void applyVmList(View &view, const std::vector<ListedVm> &listed, const ViewOptions &options, Millis now);

/// Takes over a report that came from the VM itself, when it is not older than the one known.
/// @return whether it was taken over.
bool applyReport(View &view, const Report &report, const ViewOptions &options, Millis now);

/// Takes over a sign of life that came from the VM itself.
/// @return false when the report that it goes with is not known here.
bool applyHeartbeat(View &view, const Heartbeat &heartbeat, const ViewOptions &options, Millis now);

/// Merges news that came from another VM.
void applyUpdate(View &view, const MembershipUpdate &update, const ViewOptions &options, Millis now);

/// Notes that the word on a domain holds as of some time, for all of its VMs that are not silent.
void refreshDomain(View &view, std::string_view domain, Millis asOf);

/// Notes that a delegate has heard nothing from a VM.
void markSuspected(View &view, std::string_view vm, const std::set<std::string> &delegates, Millis now);

/// Merges two pieces of news on the same VM.
MembershipUpdate mergedUpdate(const MembershipUpdate &a, const MembershipUpdate &b);

/// Collects news with a higher change sequence, oldest first.
/// @param isRemote whether the receiver is in another domain.
/// @param upTo receives the sequence up to which the news reaches.
std::vector<MembershipUpdate> updatesAfter(const View &view, std::uint64_t after, bool isRemote, std::size_t limit,
                                           std::uint64_t &upTo);

/// Gives a number that is equal for views that know the same of all VMs, load and signs of life apart.
std::uint64_t fingerprintOf(const View &view);

/// Finds a VM.
/// @return the VM, or null.
const Member *find(const View &view, std::string_view vm);

/// Gives the address at which a VM accepts RPC: its own report's, else the platform's.
const std::string &addressOf(const Member &member);

/// Tells whether a VM counts as dead.
bool isUnreachable(const Member &member);

/// Tells whether new work may be sent to a VM.
bool isUsable(const Member &member, const ViewOptions &options, Millis now);

/// Tells whether the platform lists a VM that has not reported yet. Work that must be divided among all VMs counts it
/// in; requests are not sent to it.
bool isExpected(const Member &member);

} // namespace ibislock::membership
