// Conversions between Cap'n Proto messages and bytes, shared by all messages of this library.

#pragma once

#include "ibislock/base/clock.h"

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

} // namespace ibislock::peer
