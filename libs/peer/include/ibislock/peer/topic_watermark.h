// Where the operators' topic ended, as VMs tell each other. No I/O.

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>

namespace ibislock::peer
{

/// Where the operators' topic ended, as some VM has read it in the store.
struct TopicWatermark
{
    std::int64_t end = -1; ///< Below 0 for nothing known.
    std::int64_t announcementsEnd = -1; ///< Behind the last naming of weights.
    Millis age{UnknownAge}; ///< Since the store said so.

    /// The age of a level that is not known.
    static constexpr Millis UnknownAge{0xffffffff};
};

} // namespace ibislock::peer
