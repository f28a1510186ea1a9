#include "quarantine_state.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace ibislock::serving
{

namespace
{

/// An answer that others report is passed on if it is so much later than the last one that is known.
constexpr Millis AnswerNewsGap{std::chrono::seconds{10}};

/// A part may be replaced in a full quarantine if no request with it came for so long before one with the new part.
constexpr Millis MinQuietTime{std::chrono::seconds{10}};

AnsweredPart &answerOf(PromptQuarantine &quarantine, const Suspect &part)
{
    const AnsweredPart *known = findAnswer(quarantine, part);
    const AnsweredPart copy = known != nullptr ? *known : AnsweredPart{};
    if (quarantine.answers.size() >= MaxAnswers && !quarantine.answers.contains(part)) {
        quarantine.olderAnswers = std::exchange(quarantine.answers, {});
    }
    return quarantine.answers.try_emplace(part, copy).first->second;
}

void recordAnsweredRequest(PromptQuarantine &quarantine, const Suspect &request, Millis at)
{
    if (quarantine.answeredRequests.size() >= MaxAnswers && !quarantine.answeredRequests.contains(request)) {
        quarantine.olderAnsweredRequests = std::exchange(quarantine.answeredRequests, {});
    }
    quarantine.answeredRequests[request] = at;
}

void dropOldestSuspicion(PromptQuarantine &quarantine)
{
    Suspect part;
    Millis oldest = Millis::max();
    for (const auto &[candidate, list] : quarantine.suspicions) {
        if (list.front().at < oldest) {
            oldest = list.front().at;
            part = candidate;
        }
    }
    std::vector<CrashSuspicion> &list = quarantine.suspicions[part];
    list.erase(list.begin());
    --quarantine.suspicionCount;
    if (list.empty()) {
        quarantine.suspicions.erase(part);
    }
}

} // namespace

int reportsOfOthers(const PromptQuarantine &quarantine, std::uint64_t entry)
{
    const std::uint64_t draw = XXH64(&entry, sizeof entry, quarantine.self);
    return draw % quarantine.forwardOneIn == 0 ? 1 : 0;
}

void scheduleReports(PromptQuarantine &quarantine, AnsweredPart &answer, int reports)
{
    answer.reportsLeft = std::max(answer.reportsLeft, reports);
    quarantine.hasUnreported = true;
}

bool wasAnsweredLately(const AnsweredPart &answer, Millis now, const QuarantinePolicy &policy)
{
    return now - answer.at < policy.answerLifetime;
}

AnsweredPart *findAnswer(PromptQuarantine &quarantine, const Suspect &part)
{
    const auto it = quarantine.answers.find(part);
    if (it != quarantine.answers.end()) {
        return &it->second;
    }
    const auto older = quarantine.olderAnswers.find(part);
    return older != quarantine.olderAnswers.end() ? &older->second : nullptr;
}

std::optional<Millis> lastAnswerToRequest(const PromptQuarantine &quarantine, const Suspect &request)
{
    const auto it = quarantine.answeredRequests.find(request);
    if (it != quarantine.answeredRequests.end()) {
        return it->second;
    }
    const auto older = quarantine.olderAnsweredRequests.find(request);
    return older != quarantine.olderAnsweredRequests.end() ? std::optional(older->second) : std::nullopt;
}

void keepAnswerSince(PromptQuarantine &quarantine, const Suspect &suspect, Millis since)
{
    const auto at = lastAnswerToRequest(quarantine, suspect);
    if (at && *at >= since) {
        AnsweredPart &answer = answerOf(quarantine, suspect);
        answer.at = std::max(answer.at, *at);
    }
}

void eraseSuspicions(PromptQuarantine &quarantine, const Suspect &part, Millis upTo)
{
    const auto it = quarantine.suspicions.find(part);
    if (it == quarantine.suspicions.end()) {
        return;
    }
    quarantine.suspicionCount -=
        std::erase_if(it->second, [&](const CrashSuspicion &suspicion) { return suspicion.at <= upTo; });
    if (it->second.empty()) {
        quarantine.suspicions.erase(it);
    }
}

void addSuspicion(PromptQuarantine &quarantine, const CrashSuspicion &suspicion, Millis now)
{
    quarantine.lastSuspicionAt = now;
    quarantine.hasUnreported = true;
    std::vector<CrashSuspicion> &list = quarantine.suspicions[suspicion.part];
    const auto it = std::find_if(list.begin(), list.end(),
                                 [&](const CrashSuspicion &known) { return known.engine == suspicion.engine; });
    if (it != list.end()) {
        if (suspicion.responding && !it->responding) {
            it->responding = true;
            it->reportsLeft = suspicion.reportsLeft;
        }
        return;
    }
    list.push_back(suspicion);
    if (++quarantine.suspicionCount > MaxSuspicions) {
        dropOldestSuspicion(quarantine);
    }
}

bool quarantinePart(PromptQuarantine &quarantine, const Suspect &part, const QuarantinedPart &entry)
{
    if (quarantine.parts.size() >= MaxQuarantinedParts) {
        const auto quietest =
            std::min_element(quarantine.parts.begin(), quarantine.parts.end(), [](const auto &a, const auto &b) {
                return a.second.lastRequestAt < b.second.lastRequestAt;
            });
        if (quietest->second.lastRequestAt + MinQuietTime > entry.lastRequestAt) {
            return false;
        }
        quarantine.parts.erase(quietest);
    }
    quarantine.parts[part] = entry;
    quarantine.releasedParts.erase(part);
    quarantine.lastFullReportAt = Millis{0};
    return true;
}

bool applyAnswer(PromptQuarantine &quarantine, const Suspect &part, Millis at, bool own)
{
    const bool suspected = quarantine.suspicions.contains(part);
    const auto it = quarantine.parts.find(part);
    const bool released = it != quarantine.parts.end() && it->second.since <= at;
    if (own && part.kind == SuspectKind::Request && !suspected && !released) {
        recordAnsweredRequest(quarantine, part, at); // Nearly each request is another one; few become suspects.
        return false;
    }
    AnsweredPart &answer = answerOf(quarantine, part);
    if (at < answer.at) {
        return false;
    }
    const bool news = suspected || released || (!own && at > answer.at + AnswerNewsGap);
    answer.at = at;
    if (news) {
        scheduleReports(quarantine, answer, own ? ReportsOfOwn : reportsOfOthers(quarantine, part.id));
    }
    eraseSuspicions(quarantine, part, at);
    if (released) {
        quarantine.parts.erase(it);
    }
    quarantine.releasedParts.erase(part);
    return released;
}

} // namespace ibislock::serving
