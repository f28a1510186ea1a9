// Records of the platform's log, and their encoding.
//
// Each record is a JSON document with a schema number and a kind. Readers skip records that are malformed or have a
// newer schema, and count them.
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

/// The schema version that is written, and the newest one that can be read.
inline constexpr std::uint64_t RecordSchema = 1;

/// A ticket that an operator filed.
struct TicketRecord
{
    Ticket ticket;
    std::string filedBy;
    std::uint64_t filedAtMs = 0; ///< Wall clock; for display only.

    bool operator==(const TicketRecord &) const = default;
};

/// A target process's claim of its VM's slot. Its offset is the fencing token. The claim takes effect only if it
/// replaces the current one, so that a claim that reaches the log late doesn't revert a newer one.
struct ClaimRecord
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::optional<Offset> replaces; ///< Offset of the current claim as the process knows it, if any.

    bool operator==(const ClaimRecord &) const = default;
};

/// The folded state up to some offset, which allows the log to trim the records before it.
struct SnapshotRecord
{
    std::string state; ///< Encoded by `encodeState`.
    Offset next = 0; ///< The first offset that is not part of the state.

    bool operator==(const SnapshotRecord &) const = default;
};

/// A failure domain's report that a ticket and all earlier ones are in effect on all VMs of the domain that are up.
struct InEffectRecord
{
    std::string domain;
    std::uint64_t number = 0; ///< Number of the ticket.
    std::uint64_t atMs = 0; ///< Wall clock; for display only.

    bool operator==(const InEffectRecord &) const = default;
};

/// A record of any kind.
using Record = std::variant<TicketRecord, ClaimRecord, SnapshotRecord, InEffectRecord>;

/// Encodes a record as JSON.
std::string encodeRecord(const Record &record);

/// Decodes a record from JSON.
/// @return the record, InvalidArgument if it is malformed, or Unsupported if it has a newer schema.
Result<Record> decodeRecord(std::string_view data);

} // namespace ibislock::configuration
