#include "ibislock/serving/prompt_quarantine.h"

#include "quarantine_state.h"

#include <algorithm>
#include <set>
#include <utility>
#include <xxhash.h>

namespace ibislock::serving
{

namespace
{

constexpr Millis MinProbeWait{1000};

/// How long suspects are judged after the last suspicion has settled; callers judge them several times a second.
constexpr Millis JudgeMargin{1000};

/// What is known of one crash, from all requests that were at the target.
struct Crash
{
    bool partExplains = false; ///< A request with a part that is in quarantine was at the target.
    std::optional<std::uint64_t> quarantinedRequest; ///< A request that is in quarantine was at the target.
    bool anyResponding = false; ///< The target had begun to respond to some of the requests.
};

/// The case against a suspect.
struct Candidate
{
    Suspect part;
    std::size_t crashes = 0;
    bool answered = false; ///< It was answered before these crashes.
    int depth = 0;
    Millis lastCrashAt{0};
};

using Crashes = std::map<std::uint64_t, Crash>;

Crashes crashesByEngine(const PromptQuarantine &quarantine)
{
    Crashes out;
    for (const auto &[part, list] : quarantine.suspicions) {
        const bool quarantined = quarantine.parts.contains(part);
        for (const CrashSuspicion &suspicion : list) {
            Crash &crash = out[suspicion.engine];
            crash.partExplains = crash.partExplains || (quarantined && part.kind == SuspectKind::Part);
            if (quarantined && part.kind == SuspectKind::Request) {
                crash.quarantinedRequest = part.id;
            }
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

/// Returns whether a suspect was released a short time ago without having been answered.
bool isOnProbation(const PromptQuarantine &quarantine, const Suspect &part)
{
    return quarantine.releasedParts.contains(part);
}

/// Returns the crashes that count against a suspect. Those under one request that is in quarantine count once for the
/// parts of prompts, as the part may be what makes the request crash targets, and not at all for other requests.
std::vector<CrashSuspicion> countedCrashes(const std::vector<CrashSuspicion> &list, const Crashes &crashes,
                                           Millis settledBefore)
{
    std::vector<CrashSuspicion> out;
    std::set<std::uint64_t> requests;
    for (const CrashSuspicion &suspicion : list) {
        const Crash &crash = crashes.at(suspicion.engine);
        if (suspicion.at > settledBefore || crash.partExplains || (!suspicion.responding && crash.anyResponding)) {
            continue;
        }
        if (!crash.quarantinedRequest
            || (suspicion.part.kind == SuspectKind::Part && requests.insert(*crash.quarantinedRequest).second)) {
            out.push_back(suspicion);
        }
    }
    return out;
}

std::optional<Candidate> judge(PromptQuarantine &quarantine, const Suspect &part, const Crashes &crashes, Millis now,
                               const QuarantinePolicy &policy)
{
    const bool probation = isOnProbation(quarantine, part);
    const bool isRequest = part.kind == SuspectKind::Request;
    const AnsweredPart *answer = findAnswer(quarantine, part);
    Candidate out{.part = part, .answered = !isRequest && answer != nullptr && wasAnsweredLately(*answer, now, policy)};
    std::vector<Millis> times;
    for (const CrashSuspicion &suspicion :
         countedCrashes(quarantine.suspicions.at(part), crashes, probation ? now : now - policy.settleTime)) {
        times.push_back(suspicion.at);
        out.depth = std::max(out.depth, suspicion.depth);
        out.lastCrashAt = std::max(out.lastCrashAt, suspicion.at);
    }
    out.crashes = times.size();
    if (isRequest) {
        const auto threshold = static_cast<std::size_t>(probation ? 1 : policy.requestThreshold);
        const auto lastAnswer = lastAnswerToRequest(quarantine, part);
        const bool answered = lastAnswer && now - *lastAnswer < policy.answerLifetime;
        // Targets that crash together for another reason may all have had a request that is sent often.
        const std::size_t counted =
            answered ? static_cast<std::size_t>(countMoments(std::move(times), policy.momentGap)) : out.crashes;
        return counted >= threshold ? std::optional(out) : std::nullopt;
    }
    const int threshold = probation ? 1 : (out.answered ? policy.answeredMomentThreshold : policy.momentThreshold);
    return countMoments(std::move(times), policy.momentGap) >= threshold ? std::optional(out) : std::nullopt;
}

/// Returns whether the case against one suspect is better than the one against another.
bool isBetter(const Candidate &a, const Candidate &b)
{
    // A part that was answered is unlikely to be the cause. Of two suspects that can't be told apart, the later one is
    // in fewer requests.
    if (a.answered != b.answered) {
        return b.answered;
    }
    return a.crashes != b.crashes ? a.crashes > b.crashes : a.depth > b.depth;
}

} // namespace

std::uint64_t incarnationOf(std::string_view engine, std::int64_t startedAt)
{
    return XXH64(engine.data(), engine.size(), static_cast<XXH64_hash_t>(startedAt));
}

std::vector<Suspect> suspectsOf(const std::vector<std::uint64_t> &parts, std::uint64_t request)
{
    std::vector<Suspect> out(parts.begin(), parts.end());
    out.emplace_back(request, SuspectKind::Request);
    return out;
}

void recordCrash(PromptQuarantine &quarantine, const EngineCrash &crash, Millis now, const QuarantinePolicy &policy)
{
    for (std::size_t n = 0; n < crash.suspects.size(); ++n) {
        const Suspect &suspect = crash.suspects[n];
        const bool first = !quarantine.suspicions.contains(suspect);
        const AnsweredPart *answer = findAnswer(quarantine, suspect);
        const bool answered =
            suspect.kind == SuspectKind::Part && answer != nullptr && wasAnsweredLately(*answer, now, policy);
        addSuspicion(quarantine,
                     {.engine = crash.engine,
                      .part = suspect,
                      .at = now,
                      .responding = crash.responding,
                      .depth = static_cast<int>(n),
                      .reportsLeft = first && answered ? 0 : ReportsOfOwn},
                     now);
    }
}

std::vector<Suspect> recordAnswer(PromptQuarantine &quarantine, const std::vector<Suspect> &suspects, Millis now)
{
    std::vector<Suspect> released;
    for (const Suspect &part : suspects) {
        if (applyAnswer(quarantine, part, now, /*own=*/true)) {
            released.push_back(part);
        }
    }
    return released;
}

std::vector<Suspect> quarantineSuspects(PromptQuarantine &quarantine, Millis now, const QuarantinePolicy &policy)
{
    std::vector<Suspect> out;
    if (now > quarantine.lastSuspicionAt + policy.settleTime + JudgeMargin) {
        return out; // The verdicts are those of the last time.
    }
    for (;;) {
        const Crashes crashes = crashesByEngine(quarantine);
        std::optional<Candidate> best;
        for (const auto &[part, list] : quarantine.suspicions) {
            const auto candidate =
                quarantine.parts.contains(part) ? std::nullopt : judge(quarantine, part, crashes, now, policy);
            if (candidate && (!best || isBetter(*candidate, *best))) {
                best = candidate;
            }
        }
        if (!best) {
            return out;
        }
        // Counted from the last crash, so that an answer since then releases it whose report is still under way.
        const QuarantinedPart entry{.since = best->lastCrashAt,
                                    .lastRequestAt = now,
                                    .origin = quarantine.self,
                                    .probeAt = now + policy.firstProbeTime,
                                    .probeInterval = policy.firstProbeTime};
        if (!quarantinePart(quarantine, best->part, entry)) {
            return out;
        }
        out.push_back(best->part);
    }
}

std::optional<Suspect> findQuarantined(const PromptQuarantine &quarantine, const std::vector<Suspect> &suspects)
{
    if (quarantine.parts.empty()) {
        return std::nullopt;
    }
    const auto it = std::find_if(suspects.begin(), suspects.end(),
                                 [&](const Suspect &suspect) { return quarantine.parts.contains(suspect); });
    return it != suspects.end() ? std::optional(*it) : std::nullopt;
}

bool tryProbe(PromptQuarantine &quarantine, const Suspect &part, Millis now)
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

Millis timeUntilProbe(const PromptQuarantine &quarantine, const Suspect &part, Millis now)
{
    const auto it = quarantine.parts.find(part);
    return it != quarantine.parts.end() ? std::max(it->second.probeAt - now, MinProbeWait) : MinProbeWait;
}

std::vector<Suspect> expireQuarantine(PromptQuarantine &quarantine, Millis now, const QuarantinePolicy &policy)
{
    if (quarantine.suspicions.empty() && quarantine.parts.empty() && quarantine.releasedParts.empty()) {
        return {};
    }
    std::vector<Suspect> suspected;
    for (const auto &[part, list] : quarantine.suspicions) {
        suspected.push_back(part);
    }
    for (const Suspect &part : suspected) {
        eraseSuspicions(quarantine, part, now - policy.suspicionLifetime);
    }
    std::vector<Suspect> released;
    for (const auto &[part, entry] : quarantine.parts) {
        if (now - entry.lastRequestAt >= policy.quietTime || now - entry.since >= policy.maxTime) {
            released.push_back(part);
        }
    }
    for (const Suspect &part : released) {
        quarantine.parts.erase(part);
        eraseSuspicions(quarantine, part, now);
        quarantine.releasedParts[part] = now;
    }
    std::erase_if(quarantine.releasedParts,
                  [&](const auto &item) { return now - item.second >= policy.probationTime; });
    return released;
}

} // namespace ibislock::serving
