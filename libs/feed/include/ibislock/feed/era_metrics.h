// Metrics of the eras of the platform's store, which rise when it is restored from an older copy.
//
//     writeEraMetrics(out, follower.feed());

#pragma once

#include "ibislock/feed/topic_feed.h"

namespace ibislock::feed
{

/// Writes the era that a feed knows, how often it changed, and the responses that were ignored as they were of an
/// earlier one.
void writeEraMetrics(std::string &out, const TopicFeed &feed);

} // namespace ibislock::feed
