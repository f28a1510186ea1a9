// The metrics page of an entry VM.

#include "front.h"

#include "ibislock/base/log.h"
#include "ibislock/base/metrics_text.h"
#include "ibislock/feed/era_metrics.h"

#include <algorithm>

namespace ibislock::front
{

namespace
{

void writeStore(std::string &out, const feed::OperatorsFollower &follower, const feed::ListingsFollower &listings)
{
    const feed::TopicFeed &operators = follower.feed();
    writeCounter(out, "ibislock_store_calls_total", "Calls to the platform's store.",
                 operators.calls() + listings.storeCalls());
    writeCounter(out, "ibislock_operators_store_calls_total", "Calls to the platform's store for the operators' topic.",
                 operators.calls());
    writeCounter(out, "ibislock_store_failures_total", "Calls to the platform's store that failed.",
                 operators.failures() + listings.storeFailures());
    writeEraMetrics(out, operators);
    writeCounter(out, "ibislock_store_reads_given_up_total", "Reads of the operators' topic that were begun anew.",
                 operators.cancelledCalls());
    writeCounter(out, "ibislock_store_reads_repeated_total",
                 "Reads of the operators' topic that were sent beside one without a response.",
                 operators.repeatedCalls());
    writeCounter(out, "ibislock_records_taken_over_total", "How often records of operators came from another VM.",
                 follower.peerUpdatesApplied());
    writeCounter(out, "ibislock_records_asked_in_vain_total", "VMs that were asked for records and had none.",
                 follower.failedRequests());
    writeCounter(out, "ibislock_records_answered_total", "Asks of other VMs for records that were answered.",
                 follower.responsesSent());
    writeCounter(out, "ibislock_unusable_listings_total", "Listings of targets that could not be read.",
                 listings.unusableListings());
    writeCounter(out, "ibislock_relay_answers_total", "Answers of relays of listings that were taken over.",
                 listings.relayResponses());
    writeCounter(out, "ibislock_relays_left_total", "Relays of listings that were lost or behind.",
                 listings.relayFailovers());
    writeCounter(out, "ibislock_listings_own_reads_total",
                 "Reads of the store beside a late source, as the listings had grown old.", listings.ownReads());
}

/// Writes the age of the VM's data. Comes early in the page, as collectors may keep only its beginning.
void writeKnowledge(std::string &out, const feed::TopicFeed &operators, const feed::ListingsFollower &listings,
                    const FrontCounters &counters)
{
    writeGauge(out, "ibislock_operators_behind_ms", "For how long records of the operators' topic have been unread.",
               operators.lagTime().count());
    writeGauge(out, "ibislock_operators_longest_behind_ms", "The longest such time since the start.",
               operators.maxLagTime().count());
    writeCounter(out, "ibislock_operators_store_bytes_total",
                 "Bytes that were read from the store of the operators' topic.", operators.bytesRead());
    writeGauge(out, "ibislock_listings_age_ms", "Age of what is known of the listings of targets.",
               listings.age().count());
    writeGauge(out, "ibislock_listings_greatest_used_age_ms",
               "The greatest age of the listings when a target was chosen, since the start.",
               counters.maxListingsAge.count());
    writeCounter(out, "ibislock_unlisted_targets_used_total",
                 "Attempts at targets whose listing was known to be removed.", counters.attemptsAtUnlistedTargets);
    writeGauge(out, "ibislock_unlisted_targets_longest_use_ms",
               "The longest time after which such a target was chosen, since its listing was known to be removed.",
               counters.maxUnlistedUse.count());
}

void writeState(std::string &out, const feed::OperatorsView &operators, bool away, Millis confirmedAge, Millis now)
{
    writeGauge(out, "ibislock_state_version", "Version of the desired state in force.",
               operators.state ? operators.state->version : 0);
    if (operators.state) {
        writeGauge(out, "ibislock_state_age_ms", "Time since this VM read that state.",
                   (now - operators.stateReadAt).count());
    }
    writeGauge(out, "ibislock_state_confirmed_age_ms",
               "Time since no newer state is known to have existed; -1 before the first one.", confirmedAge.count());
    writeGauge(out, "ibislock_store_away", "1 while the operators' topic can't be read.", away ? 1 : 0);
}

void writeTargets(std::string &out, const serving::TargetTable &table, const feed::Evacuations &evacuations, Millis now)
{
    constexpr double Percent = 100;
    writeGauge(out, "ibislock_targets", "Targets that are known.", static_cast<std::int64_t>(table.targets.size()));
    const auto limited = std::count_if(table.targets.begin(), table.targets.end(),
                                       [](const auto &item) { return item.second.signals.limit; });
    writeGauge(out, "ibislock_limited_targets", "Targets that name a limit of requests.", limited);
    const auto inEvacuated = std::count_if(table.targets.begin(), table.targets.end(), [&](const auto &item) {
        return evacuations.active.contains(item.second.entry.domain);
    });
    writeGauge(out, "ibislock_evacuated_domains", "Failure domains that are evacuated.",
               static_cast<std::int64_t>(evacuations.active.size()));
    writeGauge(out, "ibislock_evacuated_targets", "Targets in evacuated domains.", inEvacuated);
    const auto cold = std::count_if(table.targets.begin(), table.targets.end(),
                                    [&](const auto &item) { return !isWarm(item.second, now); });
    writeGauge(out, "ibislock_cold_targets", "Targets that are not known to be warm.", cold);
    writeMetricHeader(out, "ibislock_target_occupancy_percent", "gauge", "Requests for each slot, as believed.");
    for (const auto &[id, target] : table.targets) {
        const bool engine = target.load.has_value();
        const double slots = std::max(target.entry.slots, 1);
        writeLabelled(out, "ibislock_target_occupancy_percent", "target", id,
                      static_cast<std::int64_t>(Percent * estimatedRequests(target, engine, now) / slots));
    }
    writeMetricHeader(out, "ibislock_target_load_age_ms", "gauge", "Age of the last reported load.");
    for (const auto &[id, target] : table.targets) {
        if (target.load) {
            writeLabelled(out, "ibislock_target_load_age_ms", "target", id, (now - target.load->receivedAt).count());
        }
    }
}

void writeRetries(std::string &out, serving::RetryBudgetShare &retries, Millis now)
{
    writeGauge(out, "ibislock_entry_vms", "Entry VMs that share the retry budget.", retries.entryVms);
    writeMetricHeader(out, "ibislock_retries_left", "gauge", "Repeated sends that the budget allows now.");
    for (const auto &[service, use] : retries.services) {
        writeLabelled(out, "ibislock_retries_left", "service", service, retriesLeft(retries, service, now));
    }
}

} // namespace

std::string Front::metricsText()
{
    std::string out;
    const Millis now = steadyMillis();
    writeState(out, operators, operatorsUnreachable, stateAge(), now);
    writeKnowledge(out, m_operatorsFollower->feed(), *m_listings, counters);
    writeStallMetrics(out, m_stalls);
    writeStartMetrics(out, startSteps);
    writeCounters(out, counters);
    writeStore(out, *m_operatorsFollower, *m_listings);
    writeTargets(out, table, operators.evacuations, now);
    writeRetries(out, retries, now);
    writeCounter(out, "ibislock_connections_opened_total", "Connections opened to targets and the store.",
                 client.connectionsOpened());
    writeCounter(out, "ibislock_log_lines_dropped_total", "Log lines that were left out.", droppedLogLines());
    const auto requests = std::count_if(quarantine.parts.begin(), quarantine.parts.end(), [](const auto &item) {
        return item.first.kind == serving::SuspectKind::Request;
    });
    writeGauge(out, "ibislock_quarantined_parts",
               "Parts of prompts that crash engines, with which requests are refused.",
               static_cast<std::int64_t>(quarantine.parts.size()) - requests);
    writeGauge(out, "ibislock_quarantined_requests", "Requests that crash targets, which are refused.", requests);
    writeGauge(out, "ibislock_waiting", "Requests that wait for a slot.", static_cast<std::int64_t>(m_waiting.size()));
    writeGauge(out, "ibislock_caller_connections", "Connections of callers.",
               static_cast<std::int64_t>(m_connections.size()));
    writeMemoryBudget(out);
    writeMemoryMetric(out);
    return out;
}

} // namespace ibislock::front
