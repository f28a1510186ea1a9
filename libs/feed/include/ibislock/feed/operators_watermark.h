// The watermark of the operators' topic: its end as far as a VM knows it, and when it ended there. VMs exchange it with
// its age, so that most of them need not poll the store for new records. No I/O.
//
//     if (mergeWatermark(watermark, {.end = end, .announcementsEnd = announcementsEnd, .asOf = now - age})) { ... }

#pragma once

#include "ibislock/feed/topic_feed.h"
#include "ibislock/peer/messages.h"

namespace ibislock::feed
{

/// The end of the topic at a point in time.
struct OperatorsWatermark
{
    TopicPosition end; ///< The position after the last record.
    TopicPosition announcementsEnd; ///< The position after the last announcement of weights.
    Millis asOf{0}; ///< When the topic ended there, by the boot clock.
};

/// Merges the watermark of another VM into that of this one. A VM with an earlier end has read the topic earlier,
/// whatever age it reports, and is ignored. The times at which the topic ended in different eras aren't compared.
/// @return whether the end advanced.
bool mergeWatermark(OperatorsWatermark &watermark, const OperatorsWatermark &other);

/// Records that an announcement of weights was read at a position.
void recordAnnouncementPosition(OperatorsWatermark &watermark, const TopicPosition &position);

/// Returns the options with which daemons follow the operators' topic.
/// @param stateTime the time within which a desired state must take effect.
FeedOptions operatorsFeedOptions(Millis stateTime);

/// Returns a watermark as messages carry it, with its age at the time `now` of the boot clock.
peer::TopicWatermark toMessage(const OperatorsWatermark &watermark, Millis now);

/// Returns the watermark that a message carries. Its age counts from when the message was sent, not received, as it is
/// passed on: otherwise it would stay young by the time that it is under way.
/// @param sentAfter a time before the message was sent, by the boot clock; nothing if unknown, which validates nothing.
OperatorsWatermark fromMessage(const peer::TopicWatermark &watermark, std::optional<Millis> sentAfter);

} // namespace ibislock::feed
