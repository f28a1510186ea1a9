#include "counters.h"

#include "ibislock/base/metrics_text.h"

namespace ibislock::front
{

namespace
{

void writeHistogram(std::string &out, std::string_view name, std::string_view help, const LatencyHistogram &histogram)
{
    const std::string metric(name);
    writeMetricHeader(out, name, "histogram", help);
    std::uint64_t total = 0;
    for (std::size_t n = 0; n < LatencyBucketsMs.size(); ++n) {
        total += histogram.counts[n];
        out += metric + "_bucket{le=\"" + std::to_string(LatencyBucketsMs[n]) + "\"} " + std::to_string(total) + "\n";
    }
    total += histogram.counts.back();
    out += metric + "_bucket{le=\"+Inf\"} " + std::to_string(total) + "\n";
    out += metric + "_sum " + std::to_string(histogram.sumMs) + "\n";
    out += metric + "_count " + std::to_string(total) + "\n";
}

} // namespace

void observe(LatencyHistogram &histogram, Millis latency)
{
    std::size_t n = 0;
    while (n < LatencyBucketsMs.size() && latency.count() > LatencyBucketsMs[n]) {
        ++n;
    }
    ++histogram.counts[n];
    histogram.sumMs += latency.count();
}

void writeCounters(std::string &out, const FrontCounters &counters)
{
    writeMetricHeader(out, "ibislock_requests_total", "counter", "Requests by how they ended.");
    for (std::size_t n = 0; n < CallOutcomeCount; ++n) {
        writeLabelled(out, "ibislock_requests_total", "outcome", CallOutcomeNames[n].second,
                      static_cast<std::int64_t>(counters.outcomes[n]));
    }
    writeCounter(out, "ibislock_sends_total", "Requests sent to targets.", counters.attempts);
    writeCounter(out, "ibislock_repeated_sends_total", "Sends of a request beyond its first.", counters.retries);
    writeCounter(out, "ibislock_retries_without_budget_total", "Sends that the retry budget did not allow.",
                 counters.retriesWithoutBudget);
    writeCounter(out, "ibislock_silent_targets_passed_over_total",
                 "Requests sent to another target as well, as theirs was silent.", counters.silentTargetsPassedOver);
    writeCounter(out, "ibislock_silent_targets_responded_total",
                 "Requests that such a silent target responded to after all.", counters.silentTargetsResponded);
    writeCounter(out, "ibislock_choices_without_turn_total",
                 "Choices of a target in which the limit of one or more left this VM no turn.",
                 counters.choicesWithoutTurn);
    writeCounter(out, "ibislock_choices_outside_regions_total",
                 "Choices of a target that left out targets outside the request's regions.",
                 counters.choicesOutsideRegions);
    writeCounter(out, "ibislock_choices_without_evacuated_total",
                 "Choices of a target that left out targets in evacuated domains.", counters.choicesEvacuated);
    writeCounter(out, "ibislock_choices_without_cold_turn_total",
                 "Choices of a target in which one or more that may be cold left this VM no turn.",
                 counters.choicesWithoutColdTurn);
    writeCounter(out, "ibislock_cold_sends_total", "Requests sent to targets that were not known to be warm.",
                 counters.attemptsAtColdTargets);
    writeCounter(out, "ibislock_sends_withheld_total",
                 "Sends that were left out as the target was closed to the request while connecting.",
                 counters.sendsWithheld);
    writeCounter(out, "ibislock_sends_without_caller_total", "Sends that were left out as their callers had left.",
                 counters.sendsWithoutCaller);
    writeCounter(out, "ibislock_refusals_left_to_others_total",
                 "Requests refused while free slots were left to other entry VMs.", counters.refusalsLeftToOthers);
    writeHistogram(out, "ibislock_wait_ms", "Time until the first send, in milliseconds.", counters.waitTime);
    writeHistogram(out, "ibislock_first_event_ms", "Time until the first bytes of an answer.",
                   counters.timeToFirstByte);
    writeHistogram(out, "ibislock_answer_ms", "Time until the end of an answer.", counters.totalTime);
}

} // namespace ibislock::front
