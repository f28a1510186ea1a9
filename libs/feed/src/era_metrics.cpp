#include "ibislock/feed/era_metrics.h"

#include "ibislock/base/metrics_text.h"

namespace ibislock::feed
{

void writeEraMetrics(std::string &out, const TopicFeed &feed)
{
    writeGauge(out, "ibislock_store_era",
               "Era of the store that the operators' topic was read in; 0 if it reports none.", feed.position().era);
    writeCounter(out, "ibislock_store_restores_total", "How often the store was restored from an older copy.",
                 feed.restores());
    writeCounter(out, "ibislock_store_outdated_answers_total",
                 "Responses of the store that were ignored as they were of an earlier era.", feed.outdatedResponses());
}

} // namespace ibislock::feed
