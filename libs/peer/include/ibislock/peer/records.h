// How VMs pass on the records of the operators' topic, so that not every VM reads them from the store: one asks for
// what it lacks, and another answers with the newest record of each key. No I/O.
//
//     connection.write(encode(RecordsAsk{.from = 12, .end = 14, .wait = Millis{600}}));
//     if (auto message = decodeRecords(body)) { ... }

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/peer/frames.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ibislock::peer
{

/// Asks for records.
struct RecordsRequest
{
    std::uint32_t sequence = 0; ///< Given back in the answer.
    std::int64_t from = 0; ///< The offset up to which the asker knows the topic.
    std::int64_t awaitedEnd = 0; ///< The answer may wait until the asked VM knows the topic up to here.
    Millis wait{0}; ///< For how long it may wait.
};

/// A record as it is passed on.
struct TopicRecord
{
    std::string key;
    std::optional<std::string> value; ///< Nothing if the key was dropped.
    std::int64_t offset = 0;
};

/// Answers an ask.
struct RecordsUpdate
{
    std::uint32_t sequence = 0;
    std::int64_t end = -1; ///< The offset up to which the sender knows the topic; below 0 for nothing known.
    std::vector<TopicRecord>
        records; ///< The newest of each key, where it is at or behind the offset that was asked for.
};

using RecordsMessage = std::variant<RecordsRequest, RecordsUpdate>;

/// Writes an ask with its length in front.
std::string encode(const RecordsRequest &message);

/// Writes an answer with its length in front.
std::string encode(const RecordsUpdate &message);

/// Reads the body of a frame.
/// @return the message, or Corrupt.
Result<RecordsMessage> decodeRecords(std::string_view body);

} // namespace ibislock::peer
