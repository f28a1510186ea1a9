// Records of the platform's log.
//
// Each record is a JSON document with a schema number and a kind. Readers skip records that are malformed or of a newer
// schema, and count them.
//
//     std::string data = encodeRecord(ClaimRecord{.vm = "t1", .incarnation = 7});
//     Result<Record> record = decodeRecord(data);

#pragma once

#include "ibislock/configuration/ticket.h"

#include <optional>
#include <variant>

namespace ibislock::configuration
{

/// A position in the platform's log.
using Offset = std::uint64_t;

/// The schema that this version writes and the newest that it reads.
inline constexpr std::uint64_t RecordSchema = 1;

/// An operator's ticket.
struct TicketRecord
{
    Ticket ticket;
    std::string filedBy;
    std::uint64_t filedAtMs = 0; ///< Wall clock, for people only.

    bool operator==(const TicketRecord &) const = default;
};

/// A target process's claim of its VM's slot. Its offset is the fencing number. The claim counts only when it replaces
/// the one that is in force, so that a claim which reaches the log late takes nothing back.
struct ClaimRecord
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::optional<Offset> replaces; ///< The offset of the claim that the process saw in force; none when it saw none.

    bool operator==(const ClaimRecord &) const = default;
};

/// The folded state up to some offset, so that the records before it may be trimmed.
struct SnapshotRecord
{
    std::string state; ///< Encoded by `encodeState`.
    Offset next = 0; ///< The first offset that is not part of the state.

    bool operator==(const SnapshotRecord &) const = default;
};

/// A failure domain's report that all its VMs that are up have a ticket, and every earlier one, in force.
struct InEffectRecord
{
    std::string domain;
    std::uint64_t number = 0;
    std::uint64_t atMs = 0; ///< Wall clock, for people only.

    bool operator==(const InEffectRecord &) const = default;
};

/// Any record.
using Record = std::variant<TicketRecord, ClaimRecord, SnapshotRecord, InEffectRecord>;

/// Writes a record.
std::string encodeRecord(const Record &record);

/// Reads a record.
/// @return the record, InvalidArgument when malformed, or Unsupported for a newer schema.
Result<Record> decodeRecord(std::string_view data);

} // namespace ibislock::configuration
