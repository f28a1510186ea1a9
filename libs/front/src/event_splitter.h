// Cuts a stream into whole events, so that a stream that breaks off within one can go on at another target.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibislock::front
{

/// Holds back the part of a stream that is no whole event yet.
struct EventSplitter
{
    std::string partial;
    std::int64_t lastId = -1; ///< Of the last whole event that had one.
};

/// Adds bytes of a stream.
/// @return all whole events, as they came.
std::string addBytes(EventSplitter &splitter, std::string_view bytes);

} // namespace ibislock::front
