// Splits a stream of server-sent events into complete events, so that a stream that breaks within an event can be
// resumed at another target.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibislock::front
{

/// Buffers the incomplete event at the end of a stream.
struct EventSplitter
{
    std::string incompleteEvent;
    std::int64_t lastId = -1; ///< Id of the last complete event that has one; -1 for none.
};

/// Appends bytes of a stream.
/// @return all events that are now complete, unchanged.
std::string appendBytes(EventSplitter &splitter, std::string_view bytes);

} // namespace ibislock::front
