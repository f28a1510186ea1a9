// The information that VMs exchange about each other: reports, heartbeats and membership updates.

#pragma once

#include "ibislock/base/digest.h"
#include "ibislock/base/names.h"

#include <cstdint>
#include <set>
#include <string>

namespace ibislock::membership
{

/// The kind of a VM: entry VM or target VM.
enum class VmKind { Entry, Target };

/// External names of the kinds.
inline constexpr NameTable<VmKind, 2> VmKindNames{{{VmKind::Entry, "entry"}, {VmKind::Target, "target"}}};

/// A VM's report about itself. Of two reports of the same incarnation the one with the higher revision is newer; if the
/// revisions are equal, the one with the higher sequence.
struct Report
{
    std::string vm;
    std::string domain;
    std::string address; ///< Where the VM's process accepts RPC, as IP:port.
    VmKind kind = VmKind::Target;
    std::uint64_t incarnation = 0;
    std::uint64_t started = 0; ///< Wall clock at the start of the process, in ms; orders incarnations.
    std::uint64_t revision = 0; ///< Counts the changes that must reach every VM.
    std::uint64_t sequence = 0; ///< Counts the heartbeats.
    bool leaving = false;
    std::uint64_t logOffset = 0; ///< The offset up to which the VM has folded the log.
    std::string phase; ///< State of the activation state chart; empty for entry VMs.
    std::uint64_t ticket = 0; ///< Number of the ticket that the VM serves.
    Digest serving; ///< The manifest that the VM serves; none while it serves nothing.
    std::uint32_t running = 0; ///< Requests in progress.
    std::uint32_t queued = 0;
    std::uint64_t coveredTicket = 0; ///< For an entry VM: the newest ticket that all VMs monitored by it have folded.

    bool operator==(const Report &) const = default;
};

/// An update on one VM: its newest report, and the delegates that suspect it because they have received nothing from it
/// since.
struct MembershipUpdate
{
    Report report;
    std::set<std::string> suspectedBy;

    bool operator==(const MembershipUpdate &) const = default;
};

/// A heartbeat of a VM, small enough to be sent often.
struct Heartbeat
{
    std::string vm;
    std::string domain;
    VmKind kind = VmKind::Target;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0; ///< Revision of the report that the heartbeat belongs to.
    std::uint64_t sequence = 0;
    std::uint64_t logOffset = 0;
    std::uint64_t lastTicket = 0;
    std::uint64_t coveredTicket = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    bool logReachable = false;

    bool operator==(const Heartbeat &) const = default;
};

} // namespace ibislock::membership
