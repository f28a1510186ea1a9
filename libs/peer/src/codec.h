// Conversions between Cap'n Proto messages and bytes, shared by all messages of this library.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/peer/records.h"
#include "peer.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <string>
#include <string_view>

namespace ibislock::peer
{

/// Returns the bytes of a message.
std::string flatten(capnp::MessageBuilder &message);

/// Returns a time in milliseconds as messages carry it, clamped to 32 bits.
std::uint32_t wireMillis(Millis time);

/// Copies bytes to words, as the codec needs its input aligned.
kj::Array<capnp::word> aligned(std::string_view bytes);

/// Returns the limits for reading a message. Without them, a list of structures without content could claim millions of
/// entries in a few bytes.
/// @param words the message.
capnp::ReaderOptions readerOptions(kj::ArrayPtr<const capnp::word> words);

/// Reads a record.
/// @param era the era of its position.
TopicRecord readRecord(wire::Record::Reader from, std::int64_t era);

/// Writes records.
void writeRecords(capnp::List<wire::Record>::Builder to, const std::vector<TopicRecord> &records);

} // namespace ibislock::peer
