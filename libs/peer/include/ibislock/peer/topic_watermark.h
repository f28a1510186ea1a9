// The watermark of the operators' topic as VMs exchange it. No I/O.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/topic_position.h"

namespace ibislock::peer
{

/// The end of the operators' topic, as a VM has read it from the store.
struct TopicWatermark
{
    TopicPosition end; ///< The position after the last record.
    TopicPosition announcementsEnd; ///< The position after the last announcement of weights.
    Millis age{UnknownAge}; ///< Time since the store reported this end.

    /// The age of an unknown watermark.
    static constexpr Millis UnknownAge{0xffffffff};
};

} // namespace ibislock::peer
