// Messages with which VMs forward the records of the operators' topic, so that not every VM reads them from the store.
// A VM requests the records that it lacks, and another responds with the newest record of each key. No I/O.
//
//     connection.write(encode(RecordsRequest{.from = 12, .awaitedEnd = 14, .wait = Millis{600}}));
//     if (auto message = decodeRecords(body)) { ... }

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/topic_position.h"
#include "ibislock/peer/frames.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ibislock::peer
{

/// Requests the records from a position on.
struct RecordsRequest
{
    /// Identifies the request; the update repeats it, so that the requesting VM can ignore responses to earlier
    /// requests.
    std::uint32_t sequence = 0;
    TopicPosition from; ///< The position up to which the requesting VM knows the topic.
    /// The request may be held until the responding VM knows the topic up to here. If unknown, records are requested
    /// that are in force at the responding VM and that the topic lacks.
    TopicPosition awaitedEnd;
    Millis wait{0}; ///< How long the request may be held.
};

/// A record of the topic as VMs forward it.
struct TopicRecord
{
    std::string key;
    std::optional<std::string> value; ///< Empty if the key was deleted.
    TopicPosition position;
};

/// The response to a `RecordsRequest`.
struct RecordsUpdate
{
    std::uint32_t sequence = 0;
    TopicPosition end; ///< The position up to which the sender knows the topic.
    /// The newest of each key, if it is at or after the requested position; all of the era of `end`. The positions of
    /// records that the topic lacks mean nothing.
    std::vector<TopicRecord> records;
    /// All keys that have a value, if the sender may not have seen each deletion since the requested position. Keys
    /// that are missing were deleted before `end`.
    std::optional<std::vector<std::string>> keys = std::nullopt;
};

using RecordsMessage = std::variant<RecordsRequest, RecordsUpdate>;

/// Encodes a request with its length in front.
std::string encode(const RecordsRequest &message);

/// Encodes an update with its length in front.
std::string encode(const RecordsUpdate &message);

/// Decodes the body of a frame.
/// @return the message, or Corrupt.
Result<RecordsMessage> decodeRecords(std::string_view body);

} // namespace ibislock::peer
