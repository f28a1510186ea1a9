// The watermark of the operators' topic as VMs exchange it. No I/O.

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>

namespace ibislock::peer
{

/// The end of the operators' topic, as a VM has read it from the store.
struct TopicWatermark
{
    std::int64_t end = -1; ///< The offset after the last record; below 0 if unknown.
    std::int64_t announcementsEnd = -1; ///< The offset after the last announcement of weights.
    Millis age{UnknownAge}; ///< Time since the store reported this end.

    /// The age of an unknown watermark.
    static constexpr Millis UnknownAge{0xffffffff};
};

} // namespace ibislock::peer
