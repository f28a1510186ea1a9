// What one VM tells the others about itself.

#pragma once

#include "ibislock/base/digest.h"
#include "ibislock/base/names.h"

#include <cstdint>
#include <set>
#include <string>

namespace ibislock::membership
{

/// The two kinds of VM.
enum class VmKind { Entry, Target };

/// External names of the kinds.
inline constexpr NameTable<VmKind, 2> VmKindNames{{{VmKind::Entry, "entry"}, {VmKind::Target, "target"}}};

/// A VM's report of itself. Of two reports of one incarnation the one with the higher revision is newer, then the one
/// with the higher sequence.
struct Report
{
    std::string vm;
    std::string domain;
    std::string address; ///< Where the VM's process accepts RPC, as IP:port.
    VmKind kind = VmKind::Target;
    std::uint64_t incarnation = 0;
    std::uint64_t started = 0; ///< Wall clock of the process's start in ms, which orders incarnations.
    std::uint64_t revision = 0; ///< Counts the changes that every VM has to learn of.
    std::uint64_t sequence = 0; ///< Counts the signs of life.
    bool leaving = false;
    std::uint64_t logOffset = 0; ///< How far the VM has folded the log.
    std::string phase; ///< State of the activation chart; empty for entry VMs.
    std::uint64_t ticket = 0; ///< The ticket that the VM serves.
    Digest serving; ///< The manifest that the VM serves; none while it serves nothing.
    std::uint32_t running = 0; ///< Requests in progress.
    std::uint32_t queued = 0;
    std::uint64_t coveredTicket = 0; ///< For an entry VM: the newest ticket that all VMs which it watches have.

    bool operator==(const Report &) const = default;
};

/// What changed about one VM: its newest report, and the delegates that have not heard of the VM since.
struct MembershipUpdate
{
    Report report;
    std::set<std::string> suspectedBy;

    bool operator==(const MembershipUpdate &) const = default;
};

/// A sign of life, small enough to be sent often.
struct Heartbeat
{
    std::string vm;
    std::string domain;
    VmKind kind = VmKind::Target;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0; ///< The report that the sign of life goes with.
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
