// What a VM knows of the end of the operators' topic. It is passed on between VMs with its age, so that most of them
// need not ask the store whether there is something new. No I/O.
//
//     if (mergeLevel(level, {.end = 12, .namingsEnd = 9, .asOf = now - age})) { ... }

#pragma once

#include "ibislock/feed/topic_feed.h"
#include "ibislock/peer/messages.h"

namespace ibislock::feed
{

/// The end of the topic, as it was at a time.
struct OperatorsWatermark
{
    std::int64_t end = -1; ///< Below 0 for nothing known.
    std::int64_t announcementsEnd = -1; ///< Behind the last naming of weights.
    Millis asOf{0}; ///< By the boot clock.
};

/// Takes over what another VM knows. One that knows an earlier end has read earlier, whatever age it tells.
/// @return whether the end is new.
bool mergeWatermark(OperatorsWatermark &watermark, const OperatorsWatermark &other);

/// Notes a naming of weights that was read.
void recordAnnouncementOffset(OperatorsWatermark &watermark, std::int64_t offset);

/// How daemons follow the operators' topic.
/// @param stateTime in which a desired state must be in force.
FeedOptions operatorsFeedOptions(Millis stateTime);

/// The level as a message holds it.
peer::TopicWatermark toMessage(const OperatorsWatermark &watermark, Millis now);

/// The level that a message holds.
OperatorsWatermark fromMessage(const peer::TopicWatermark &watermark, Millis now);

} // namespace ibislock::feed
