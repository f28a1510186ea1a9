#include "ibislock/serving/quarantine_report.h"

#include "quarantine_state.h"

#include <algorithm>
#include <utility>

namespace ibislock::serving
{

namespace
{

/// Moves suspicions into a report.
/// @return whether some have reports left.
bool takeSuspicions(PromptQuarantine &quarantine, QuarantineReport &out, Millis now)
{
    bool more = false;
    for (auto &[part, list] : quarantine.suspicions) {
        for (CrashSuspicion &suspicion : list) {
            if (suspicion.reportsLeft > 0 && out.suspicions.size() < MaxReportedSuspicions) {
                --suspicion.reportsLeft;
                out.suspicions.push_back({.engine = suspicion.engine,
                                          .part = part,
                                          .age = now - suspicion.at,
                                          .responding = suspicion.responding,
                                          .depth = suspicion.depth});
            }
            more = more || suspicion.reportsLeft > 0;
        }
    }
    return more;
}

/// Moves answers into a report.
/// @return whether some have reports left.
bool takeAnswers(std::unordered_map<Suspect, AnsweredPart, SuspectHash> &answers, QuarantineReport &out, Millis now)
{
    bool more = false;
    for (auto &[part, answer] : answers) {
        if (answer.reportsLeft > 0 && out.answers.size() < MaxReportedAnswers) {
            --answer.reportsLeft;
            out.answers.push_back({.part = part, .age = now - answer.at});
        }
        more = more || answer.reportsLeft > 0;
    }
    return more;
}

/// Moves the next parts of the full report into a report.
void takeParts(PromptQuarantine &quarantine, QuarantineReport &out, Millis now)
{
    std::vector<Suspect> &rest = quarantine.unreportedParts;
    out.forAll = !rest.empty() && quarantine.fullReportForAll;
    for (; !rest.empty() && out.parts.size() < MaxReportedParts; rest.pop_back()) {
        const auto it = quarantine.parts.find(rest.back());
        if (it != quarantine.parts.end()) {
            out.parts.push_back({.part = it->first,
                                 .origin = it->second.origin,
                                 .age = now - it->second.since,
                                 .requestAge = now - it->second.lastRequestAt});
        }
    }
}

} // namespace

std::optional<QuarantineReport> makeReport(PromptQuarantine &quarantine, Millis now, const QuarantinePolicy &policy)
{
    QuarantineReport out;
    if (quarantine.hasUnreported) {
        quarantine.hasUnreported = takeSuspicions(quarantine, out, now);
        quarantine.hasUnreported = takeAnswers(quarantine.answers, out, now) || quarantine.hasUnreported;
        quarantine.hasUnreported = takeAnswers(quarantine.olderAnswers, out, now) || quarantine.hasUnreported;
    }
    const bool due =
        quarantine.lastFullReportAt == Millis{0} || now - quarantine.lastFullReportAt >= policy.fullReportInterval;
    if (due && !quarantine.parts.empty()) {
        quarantine.fullReportForAll = quarantine.lastFullReportAt == Millis{0};
        quarantine.lastFullReportAt = now;
        quarantine.unreportedParts.clear();
        for (const auto &[part, entry] : quarantine.parts) {
            quarantine.unreportedParts.push_back(part);
        }
        // The newest come first, as nobody else may know of them.
        std::sort(quarantine.unreportedParts.begin(), quarantine.unreportedParts.end(),
                  [&](const Suspect &a, const Suspect &b) {
                      return quarantine.parts.at(a).since < quarantine.parts.at(b).since;
                  });
    }
    takeParts(quarantine, out, now);
    const bool empty = out.suspicions.empty() && out.answers.empty() && out.parts.empty();
    return empty ? std::nullopt : std::optional(std::move(out));
}

ReportChanges applyReport(PromptQuarantine &quarantine, const QuarantineReport &report, Millis now,
                          const QuarantinePolicy &policy)
{
    ReportChanges out;
    for (const QuarantineReport::Answer &answer : report.answers) {
        if (applyAnswer(quarantine, answer.part, now - answer.age, /*own=*/false)) {
            out.released.push_back(answer.part);
        }
    }
    for (const QuarantineReport::Suspicion &said : report.suspicions) {
        keepAnswerSince(quarantine, said.part, now - said.age);
        AnsweredPart *answer = findAnswer(quarantine, said.part);
        if (answer != nullptr && wasAnsweredLately(*answer, now, policy)) {
            scheduleReports(quarantine, *answer, ReportsOfOwn); // The sender may not know of it.
        }
        if (answer != nullptr && answer->at >= now - said.age) {
            continue;
        }
        addSuspicion(quarantine,
                     {.engine = said.engine,
                      .part = said.part,
                      .at = now - said.age,
                      .responding = said.responding,
                      .depth = said.depth,
                      .reportsLeft = reportsOfOthers(quarantine, said.engine ^ said.part.id)},
                     now);
    }
    for (const QuarantineReport::Part &said : report.parts) {
        keepAnswerSince(quarantine, said.part, now - said.age);
        AnsweredPart *answer = findAnswer(quarantine, said.part);
        if (answer != nullptr && answer->at >= now - said.age) {
            scheduleReports(quarantine, *answer, ReportsOfOwn);
            continue;
        }
        const auto it = quarantine.parts.find(said.part);
        if (it != quarantine.parts.end()) {
            it->second.lastRequestAt = std::max(it->second.lastRequestAt, now - said.requestAge);
            it->second.origin = std::min(it->second.origin, said.origin);
            continue;
        }
        if (said.requestAge >= policy.quietTime) {
            continue;
        }
        const Millis since = now - said.age;
        const QuarantinedPart entry{.since = since,
                                    .lastRequestAt = now - said.requestAge,
                                    .origin = said.origin,
                                    .probeAt = std::max(since + policy.firstProbeTime, now),
                                    .probeInterval = policy.firstProbeTime};
        if (quarantinePart(quarantine, said.part, entry)) {
            out.quarantined.push_back(said.part);
        }
    }
    return out;
}

} // namespace ibislock::serving
