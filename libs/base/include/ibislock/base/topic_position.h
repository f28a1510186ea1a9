// A position in a topic of a log that may be restored from an older copy. After that, offsets are assigned again, so
// that an offset identifies a record only within one era.
//
//     if (reported.end > known.end) { ... }      // of a later era, or further on in the same one

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace ibislock
{

/// An offset, and the era in which it was assigned. Later eras come after all offsets of earlier ones.
struct TopicPosition
{
    std::int64_t era = 0; ///< Rises each time the log is restored from a copy; 0 if the log has never reported one.
    std::int64_t offset = -1; ///< Below 0 if unknown.

    auto operator<=>(const TopicPosition &) const = default;

    /// Returns whether there is a known offset.
    bool isKnown() const
    {
        return offset >= 0;
    }
};

/// Returns the position that is `n` records after another one in the same era.
inline TopicPosition advancedBy(const TopicPosition &position, std::int64_t n)
{
    return {.era = position.era, .offset = position.offset + n};
}

/// Returns a position as logs show it: the offset, behind the era if the log reports one.
inline std::string toText(const TopicPosition &position)
{
    const std::string offset = std::to_string(position.offset);
    return position.era == 0 ? offset : std::to_string(position.era) + "/" + offset;
}

} // namespace ibislock
