// Cap'n Proto messages as bytes, shared by all messages of this library.

#pragma once

#include "ibislock/base/clock.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <string>
#include <string_view>

namespace ibislock::peer
{

/// Writes a message.
std::string flatten(capnp::MessageBuilder &message);

/// A time as messages hold it.
std::uint32_t wireMillis(Millis time);

/// Copies bytes to words, as the codec needs its input aligned.
kj::Array<capnp::word> aligned(std::string_view bytes);

} // namespace ibislock::peer
