// The metrics of a target VM's daemon.

#include "ibislock/base/log.h"
#include "ibislock/base/metrics_text.h"
#include "ibislock/feed/era_metrics.h"
#include "side.h"

namespace ibislock::side
{

namespace
{

void writeProgress(std::string &out, const WeightsProgress &progress)
{
    writeGauge(out, "ibislock_weights_wanted_version", "Version of the weights to be reached.", progress.version);
    writeMetricHeader(out, "ibislock_weights_phase", "gauge", "1 for the phase in which the weights are.");
    for (const auto &[phase, name] : WeightsPhaseNames) {
        writeLabelled(out, "ibislock_weights_phase", "phase", name, phase == progress.phase ? 1 : 0);
    }
    writeGauge(out, "ibislock_weights_staged_pieces", "Pieces of that version that are staged.",
               static_cast<std::int64_t>(progress.staged));
    writeGauge(out, "ibislock_weights_pieces", "Pieces of that version; 0 while unknown.",
               static_cast<std::int64_t>(progress.pieces));
    writeGauge(out, "ibislock_weights_ahead_pieces", "Pieces of the next version in memory.",
               static_cast<std::int64_t>(progress.prefetched));
}

void writeCounts(std::string &out, const WeightsCounts &counts, std::uint64_t bytesServed)
{
    writeCounter(out, "ibislock_origin_attempts_total", "Requests of pieces to the origin.",
                 counts.fetched.originAttempts);
    writeCounter(out, "ibislock_pieces_from_origin_total", "Pieces taken from the origin.", counts.fetched.fromOrigin);
    writeCounter(out, "ibislock_pieces_from_vms_total", "Pieces taken from other VMs.", counts.fetched.fromPeers);
    writeCounter(out, "ibislock_pieces_corrupt_total", "Pieces that did not match their digest.",
                 counts.fetched.corrupt + counts.corruptStaged);
    writeCounter(out, "ibislock_load_orders_total", "Orders to the engine.", counts.loadOrders);
    writeCounter(out, "ibislock_load_checks_stale_total", "Loads not ordered because a check of a piece was too old.",
                 counts.staleChecks);
    writeGauge(out, "ibislock_load_order_check_age_ms",
               "Longest time between the check of a staged piece and the response to the load order.",
               counts.oldestCheckAge.count());
    writeCounter(out, "ibislock_stage_writes_unanswered_total", "Writes to the stage that got no response.",
                 counts.unansweredWrites);
    writeCounter(out, "ibislock_piece_bytes_served_total", "Bytes of pieces sent to other VMs.", bytesServed);
}

} // namespace

std::string Side::metricsText() const
{
    std::string out;
    writeGauge(out, "ibislock_weights_version", "Version of the weights that are loaded; 0 for none.",
               m_engine.loadedVersion());
    writeProgress(out, m_agent.progress());
    writeCounts(out, m_agent.counts(), m_agent.bytesServed());
    if (m_engine.report()) {
        writeGauge(out, "ibislock_engine_running", "Requests at work.", m_engine.report()->running);
        writeGauge(out, "ibislock_engine_queued", "Requests that wait in the engine.", m_engine.report()->queued);
    }
    writeCounter(out, "ibislock_store_calls_total", "Calls to the platform's store.",
                 m_operatorsFollower->feed().calls() + m_listingsFollower->storeCalls());
    writeCounter(out, "ibislock_store_failures_total", "Calls to the platform's store that failed.",
                 m_operatorsFollower->feed().failures() + m_listingsFollower->storeFailures());
    writeCounter(out, "ibislock_operators_store_bytes_total",
                 "Bytes that were read from the store of the operators' topic.",
                 m_operatorsFollower->feed().bytesRead());
    writeEraMetrics(out, m_operatorsFollower->feed());
    writeGauge(out, "ibislock_listings_age_ms", "Age of what is known of the listings of targets.",
               m_listingsFollower->age().count());
    writeCounter(out, "ibislock_relay_answers_total", "Answers of relays of listings that were taken over.",
                 m_listingsFollower->relayResponses());
    writeCounter(out, "ibislock_relays_left_total", "Relays of listings that were lost or behind.",
                 m_listingsFollower->relayFailovers());
    writeCounter(out, "ibislock_listings_answered_total", "Asks of other VMs for listings that were answered.",
                 m_listingsFollower->responsesSent());
    writeCounter(out, "ibislock_log_lines_dropped_total", "Log lines that were left out.", droppedLogLines());
    writeGauge(out, "ibislock_subscribers", "Entry VMs that are there.",
               static_cast<std::int64_t>(m_subscribers.size()));
    writeStallMetrics(out, m_stalls);
    writeStartMetrics(out, m_startSteps);
    writeMemoryMetric(out);
    return out;
}

} // namespace ibislock::side
