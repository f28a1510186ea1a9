#include "ibislock/serving/prompt_quarantine.h"

#include "quarantine_state.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace ibislock::serving
{

namespace
{

constexpr Millis MinProbeWait{1000};

/// How long suspects are judged after the last suspicion has settled; callers judge them several times a second.
constexpr Millis JudgeMargin{1000};

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

} // namespace ibislock::serving
