#include "ibislock/serving/prompt_quarantine.h"

#include <algorithm>
#include <string>
#include <utility>
#include <xxhash.h>

namespace ibislock::serving
{

namespace
{

/// How many reports contain an entry: twice what this VM observed, as datagrams get lost, and once what others
/// reported.
constexpr int ReportsOfOwn = 2;
constexpr int ReportsOfOthers = 1;

/// An answer that others report is passed on if it is so much later than the last one that is known.
constexpr Millis AnswerNewsGap{std::chrono::seconds{10}};

/// A part may be replaced in a full quarantine if no request with it came for so long before one with the new part.
constexpr Millis MinQuietTime{std::chrono::seconds{10}};

constexpr Millis MinProbeWait{1000};

/// How long suspects are judged after the last suspicion has settled; callers judge them several times a second.
constexpr Millis JudgeMargin{1000};

/// Returns how many reports contain an entry that others reported.
int reportsOfOthers(const PromptQuarantine &quarantine, std::uint64_t entry)
{
    const std::uint64_t draw = XXH64(&entry, sizeof entry, quarantine.self);
    return draw % quarantine.forwardOneIn == 0 ? ReportsOfOthers : 0;
}

/// What is known of one crash, from all requests that were at the engine.
struct Crash
{
    bool explained = false; ///< A part that is in quarantine was at the engine.
    bool anyResponding = false; ///< The engine had begun to respond to some of the requests.
};

/// The case against a part.
struct Candidate
{
    std::uint64_t part = 0;
    std::size_t crashes = 0;
    bool answered = false; ///< It was answered before these crashes.
    int depth = 0;
};

void scheduleReports(PromptQuarantine &quarantine, AnsweredPart &answer, int reports)
{
    answer.reportsLeft = std::max(answer.reportsLeft, reports);
    quarantine.hasUnreported = true;
}

bool wasAnsweredLately(const AnsweredPart &answer, Millis now, const QuarantinePolicy &policy)
{
    return now - answer.at < policy.answerLifetime;
}

AnsweredPart *findAnswer(PromptQuarantine &quarantine, std::uint64_t part)
{
    const auto it = quarantine.answers.find(part);
    if (it != quarantine.answers.end()) {
        return &it->second;
    }
    const auto older = quarantine.olderAnswers.find(part);
    return older != quarantine.olderAnswers.end() ? &older->second : nullptr;
}

AnsweredPart &answerOf(PromptQuarantine &quarantine, std::uint64_t part)
{
    const AnsweredPart *known = findAnswer(quarantine, part);
    const AnsweredPart copy = known != nullptr ? *known : AnsweredPart{};
    if (quarantine.answers.size() >= MaxAnswers && !quarantine.answers.contains(part)) {
        quarantine.olderAnswers = std::exchange(quarantine.answers, {});
    }
    return quarantine.answers.try_emplace(part, copy).first->second;
}

void eraseSuspicions(PromptQuarantine &quarantine, std::uint64_t part, Millis upTo)
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

void dropOldestSuspicion(PromptQuarantine &quarantine)
{
    std::uint64_t part = 0;
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

std::map<std::uint64_t, Crash> crashesByEngine(const PromptQuarantine &quarantine)
{
    std::map<std::uint64_t, Crash> out;
    for (const auto &[part, list] : quarantine.suspicions) {
        const bool quarantined = quarantine.parts.contains(part);
        for (const CrashSuspicion &suspicion : list) {
            Crash &crash = out[suspicion.engine];
            crash.explained = crash.explained || quarantined;
            crash.anyResponding = crash.anyResponding || suspicion.responding;
        }
    }
    return out;
}

int countMoments(std::vector<Millis> times, Millis gap)
{
    std::sort(times.begin(), times.end());
    int moments = 0;
    Millis last{0};
    for (const Millis at : times) {
        if (moments == 0 || at - last >= gap) {
            ++moments;
            last = at;
        }
    }
    return moments;
}

/// Returns whether a part was released a short time ago without having been answered.
bool isOnProbation(const PromptQuarantine &quarantine, std::uint64_t part)
{
    return quarantine.releasedParts.contains(part);
}

std::optional<Candidate> judge(PromptQuarantine &quarantine, std::uint64_t part,
                               const std::map<std::uint64_t, Crash> &crashes, Millis now,
                               const QuarantinePolicy &policy)
{
    const bool probation = isOnProbation(quarantine, part);
    const AnsweredPart *answer = findAnswer(quarantine, part);
    Candidate out{.part = part, .answered = answer != nullptr && wasAnsweredLately(*answer, now, policy)};
    std::vector<Millis> times;
    for (const CrashSuspicion &suspicion : quarantine.suspicions.at(part)) {
        const Crash &crash = crashes.at(suspicion.engine);
        const bool settled = probation || suspicion.at + policy.settleTime <= now;
        if (settled && !crash.explained && (suspicion.responding || !crash.anyResponding)) {
            times.push_back(suspicion.at);
            out.depth = std::max(out.depth, suspicion.depth);
        }
    }
    out.crashes = times.size();
    const int threshold = probation ? 1 : (out.answered ? policy.answeredMomentThreshold : policy.momentThreshold);
    return countMoments(std::move(times), policy.momentGap) >= threshold ? std::optional(out) : std::nullopt;
}

/// Returns whether the case against one part is better than the one against another.
bool isBetter(const Candidate &a, const Candidate &b)
{
    // A part that was answered is unlikely to be the cause. Of two parts that can't be told apart, the later one is in
    // fewer requests.
    if (a.answered != b.answered) {
        return b.answered;
    }
    return a.crashes != b.crashes ? a.crashes > b.crashes : a.depth > b.depth;
}

/// Puts a part into quarantine. If the quarantine is full, it replaces the part without requests for the longest time,
/// unless requests with that one came a short time ago.
/// @return whether there was room.
bool quarantinePart(PromptQuarantine &quarantine, std::uint64_t part, const QuarantinedPart &entry)
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

/// Applies an answer to a request with a part.
/// @param own whether this VM got the answer.
/// @return whether the part was released from quarantine.
bool applyAnswer(PromptQuarantine &quarantine, std::uint64_t part, Millis at, bool own)
{
    const bool suspected = quarantine.suspicions.contains(part);
    const auto it = quarantine.parts.find(part);
    const bool released = it != quarantine.parts.end() && it->second.since <= at;
    AnsweredPart &answer = answerOf(quarantine, part);
    if (at < answer.at) {
        return false;
    }
    const bool news = suspected || released || (!own && at > answer.at + AnswerNewsGap);
    answer.at = at;
    if (news) {
        scheduleReports(quarantine, answer, own ? ReportsOfOwn : reportsOfOthers(quarantine, part));
    }
    eraseSuspicions(quarantine, part, at);
    if (released) {
        quarantine.parts.erase(it);
    }
    quarantine.releasedParts.erase(part);
    return released;
}

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
bool takeAnswers(std::unordered_map<std::uint64_t, AnsweredPart> &answers, QuarantineReport &out, Millis now)
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

} // namespace

std::uint64_t incarnationOf(std::string_view engine, std::int64_t startedAt)
{
    return XXH64(engine.data(), engine.size(), static_cast<XXH64_hash_t>(startedAt));
}

void recordCrash(PromptQuarantine &quarantine, const EngineCrash &crash, Millis now, const QuarantinePolicy &policy)
{
    for (std::size_t n = 0; n < crash.parts.size(); ++n) {
        const bool first = !quarantine.suspicions.contains(crash.parts[n]);
        const AnsweredPart *answer = findAnswer(quarantine, crash.parts[n]);
        const bool answered = answer != nullptr && wasAnsweredLately(*answer, now, policy);
        addSuspicion(quarantine,
                     {.engine = crash.engine,
                      .part = crash.parts[n],
                      .at = now,
                      .responding = crash.responding,
                      .depth = static_cast<int>(n),
                      .reportsLeft = first && answered ? 0 : ReportsOfOwn},
                     now);
    }
}

std::vector<std::uint64_t> recordAnswer(PromptQuarantine &quarantine, const std::vector<std::uint64_t> &parts,
                                        Millis now)
{
    std::vector<std::uint64_t> released;
    for (const std::uint64_t part : parts) {
        if (applyAnswer(quarantine, part, now, /*own=*/true)) {
            released.push_back(part);
        }
    }
    return released;
}

std::vector<std::uint64_t> quarantineSuspects(PromptQuarantine &quarantine, Millis now, const QuarantinePolicy &policy)
{
    std::vector<std::uint64_t> out;
    if (now > quarantine.lastSuspicionAt + policy.settleTime + JudgeMargin) {
        return out; // The verdicts are those of the last time.
    }
    for (;;) {
        const std::map<std::uint64_t, Crash> crashes = crashesByEngine(quarantine);
        std::optional<Candidate> best;
        for (const auto &[part, list] : quarantine.suspicions) {
            const auto candidate =
                quarantine.parts.contains(part) ? std::nullopt : judge(quarantine, part, crashes, now, policy);
            if (candidate && (!best || isBetter(*candidate, *best))) {
                best = candidate;
            }
        }
        const QuarantinedPart entry{.since = now,
                                    .lastRequestAt = now,
                                    .origin = quarantine.self,
                                    .probeAt = now + policy.firstProbeTime,
                                    .probeInterval = policy.firstProbeTime};
        if (!best || !quarantinePart(quarantine, best->part, entry)) {
            return out;
        }
        out.push_back(best->part);
    }
}

std::optional<std::uint64_t> findQuarantined(const PromptQuarantine &quarantine,
                                             const std::vector<std::uint64_t> &parts)
{
    if (quarantine.parts.empty()) {
        return std::nullopt;
    }
    const auto it =
        std::find_if(parts.begin(), parts.end(), [&](std::uint64_t part) { return quarantine.parts.contains(part); });
    return it != parts.end() ? std::optional(*it) : std::nullopt;
}

bool tryProbe(PromptQuarantine &quarantine, std::uint64_t part, Millis now)
{
    const auto it = quarantine.parts.find(part);
    if (it == quarantine.parts.end()) {
        return true;
    }
    QuarantinedPart &entry = it->second;
    entry.lastRequestAt = now;
    if (now < entry.probeAt) {
        return false;
    }
    entry.probeInterval *= 2;
    entry.probeAt = now + entry.probeInterval;
    return entry.origin == quarantine.self;
}

Millis timeUntilProbe(const PromptQuarantine &quarantine, std::uint64_t part, Millis now)
{
    const auto it = quarantine.parts.find(part);
    return it != quarantine.parts.end() ? std::max(it->second.probeAt - now, MinProbeWait) : MinProbeWait;
}

std::vector<std::uint64_t> expireQuarantine(PromptQuarantine &quarantine, Millis now, const QuarantinePolicy &policy)
{
    if (quarantine.suspicions.empty() && quarantine.parts.empty() && quarantine.releasedParts.empty()) {
        return {};
    }
    std::vector<std::uint64_t> suspected;
    for (const auto &[part, list] : quarantine.suspicions) {
        suspected.push_back(part);
    }
    for (const std::uint64_t part : suspected) {
        eraseSuspicions(quarantine, part, now - policy.suspicionLifetime);
    }
    std::vector<std::uint64_t> released;
    for (const auto &[part, entry] : quarantine.parts) {
        if (now - entry.lastRequestAt >= policy.quietTime || now - entry.since >= policy.maxTime) {
            released.push_back(part);
        }
    }
    for (const std::uint64_t part : released) {
        quarantine.parts.erase(part);
        eraseSuspicions(quarantine, part, now);
        quarantine.releasedParts[part] = now;
    }
    std::erase_if(quarantine.releasedParts,
                  [&](const auto &item) { return now - item.second >= policy.probationTime; });
    return released;
}

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
        out.forAll = quarantine.lastFullReportAt == Millis{0};
        quarantine.lastFullReportAt = now;
        for (const auto &[part, entry] : quarantine.parts) {
            out.parts.push_back({.part = part,
                                 .origin = entry.origin,
                                 .age = now - entry.since,
                                 .requestAge = now - entry.lastRequestAt});
        }
    }
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
                      .reportsLeft = reportsOfOthers(quarantine, said.engine ^ said.part)},
                     now);
    }
    for (const QuarantineReport::Part &said : report.parts) {
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
