// Splits a stream of server-sent events into complete events, so that a stream that breaks within an event is
// recognised and can be resumed at another target.

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
    bool hasEvents = false; ///< The current response has a complete event.
};

/// Prepares for the next response, which goes on after the last complete event.
void startResponse(EventSplitter &splitter);

/// Appends bytes of a stream.
/// @return all events that are now complete, unchanged.
std::string appendBytes(EventSplitter &splitter, std::string_view bytes);

/// Returns whether complete events hold more than comments and empty lines.
bool hasField(std::string_view events);

/// Returns whether the bytes so far end inside an event. Empty lines and complete comments belong to no event.
bool endsInsideEvent(const EventSplitter &splitter);

} // namespace ibislock::front
