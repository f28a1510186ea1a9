// Finds parts of prompts that crash engines, and quarantines them: requests with such a part are refused until it is
// known to be harmless. Requests share parts, so a crash makes all parts of the requests suspect whose first event was
// due at that engine. A part is quarantined once several engines have crashed under it at different moments and no
// request with it has been answered since. VMs pool what they know with `quarantine_report.h`.
//
//     recordAnswer(quarantine, parts, now);                       // the first event of a response
//     recordCrash(quarantine, {.engine = e, .parts = parts}, now);
//     for (std::uint64_t part : quarantineSuspects(quarantine, now)) { log(part); }
//     if (findQuarantined(quarantine, parts)) { refuse(); }

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ibislock::serving
{

/// A part of the prompt of a request whose engine crashed before the request's first event.
struct CrashSuspicion
{
    std::uint64_t engine = 0; ///< Identifies the incarnation of the engine.
    std::uint64_t part = 0;
    Millis at{0}; ///< When the crash was noticed.
    bool responding = false; ///< The engine had begun to respond to the request.
    int depth = 0; ///< Position of the part in its prompt.
    int reportsLeft = 0; ///< Reports that will still contain it.
};

/// The last answer to a request with a part.
struct AnsweredPart
{
    Millis at{0};
    int reportsLeft = 0; ///< Reports that will still contain it.
};

/// A part that is in quarantine.
struct QuarantinedPart
{
    Millis since{0};
    Millis lastRequestAt{0}; ///< When a request with the part last arrived at any entry VM.
    std::uint64_t origin = 0; ///< The entry VM that probes the part.
    Millis probeAt{0}; ///< When one request with the part may be sent.
    Millis probeInterval{0};
};

/// What a VM knows of parts that crash engines. All times are of one monotonic clock of the VM.
struct PromptQuarantine
{
    std::uint64_t self = 0; ///< Identifies this VM.
    std::uint64_t forwardOneIn = 1; ///< Of the suspicions and answers that others report, one in so many is passed on.
    std::unordered_map<std::uint64_t, std::vector<CrashSuspicion>> suspicions; ///< By part.
    std::size_t suspicionCount = 0; ///< Number of suspicions of all parts.
    std::unordered_map<std::uint64_t, AnsweredPart> answers; ///< By part; holds the latest ones.
    std::unordered_map<std::uint64_t, AnsweredPart> olderAnswers; ///< The generation before `answers`.
    std::map<std::uint64_t, QuarantinedPart> parts;
    std::map<std::uint64_t, Millis> releasedParts; ///< When a part left quarantine without an answer.
    Millis lastFullReportAt{0};
    Millis lastSuspicionAt{0}; ///< When a suspicion was last added.
    bool hasUnreported = false; ///< Some entries have reports left.
};

/// Thresholds and times of the decisions.
struct QuarantinePolicy
{
    int momentThreshold = 3; ///< Crashes at different moments after which a part is quarantined.
    int answeredMomentThreshold = 6; ///< The same for a part that was answered within `answerLifetime`.
    Millis momentGap{150}; ///< Crashes that are closer together count as one moment, as they may have one cause.
    Millis settleTime{250}; ///< A crash counts after this time, in which reports of other VMs arrive.
    Millis answerLifetime{std::chrono::seconds{30}};
    Millis suspicionLifetime{std::chrono::minutes{5}};
    Millis quietTime{std::chrono::minutes{5}}; ///< A part is released when no request with it came for this time.
    Millis maxTime{std::chrono::minutes{15}}; ///< A part is released after this time in any case.
    Millis probationTime{std::chrono::minutes{10}}; ///< After its release, one crash quarantines a part again.
    Millis firstProbeTime{std::chrono::seconds{60}}; ///< Doubles after each probe.
    Millis fullReportInterval{1000}; ///< How often parts in quarantine are reported.
};

/// Maximum number of suspicions that are held; the oldest are dropped.
inline constexpr std::size_t MaxSuspicions = 512;

/// Maximum number of parts in one generation of answers.
inline constexpr std::size_t MaxAnswers = 1024;

/// Maximum number of parts in quarantine.
inline constexpr std::size_t MaxQuarantinedParts = 16;

/// Returns the number that identifies one incarnation of an engine in all VMs.
/// @param startedAt start of the incarnation in Unix milliseconds, as listed.
std::uint64_t incarnationOf(std::string_view engine, std::int64_t startedAt);

/// A request whose engine crashed before the request's first event.
struct EngineCrash
{
    std::uint64_t engine = 0; ///< Identifies the incarnation of the engine.
    const std::vector<std::uint64_t> &parts; ///< The parts that other requests may share.
    bool responding = false; ///< The engine had begun to respond to the request.
};

/// Records such a crash. Other VMs are told of it, but for parts that were answered a short time ago only from the
/// second crash on, as most crashes have another cause and most parts are shared by many requests.
void recordCrash(PromptQuarantine &quarantine, const EngineCrash &crash, Millis now,
                 const QuarantinePolicy &policy = {});

/// Records the first event of a response, which clears all parts of its prompt.
/// @return the parts that it released from quarantine.
std::vector<std::uint64_t> recordAnswer(PromptQuarantine &quarantine, const std::vector<std::uint64_t> &parts,
                                        Millis now);

/// Quarantines the parts that explain the recorded crashes.
/// @return the parts that are new in quarantine.
std::vector<std::uint64_t> quarantineSuspects(PromptQuarantine &quarantine, Millis now,
                                              const QuarantinePolicy &policy = {});

/// Finds a part of a prompt that is in quarantine.
/// @return the part, or nothing.
std::optional<std::uint64_t> findQuarantined(const PromptQuarantine &quarantine,
                                             const std::vector<std::uint64_t> &parts);

/// Records the arrival of a request with a part that is in quarantine, and decides whether it is sent as a probe.
/// @return whether it may be sent, once and to one engine.
bool tryProbe(PromptQuarantine &quarantine, std::uint64_t part, Millis now);

/// Returns the time until the next probe of a part that is in quarantine; at least a second.
Millis timeUntilProbe(const PromptQuarantine &quarantine, std::uint64_t part, Millis now);

/// Drops what is out of date, and releases parts for which no requests come or that are in quarantine for long.
/// @return the parts that were released.
std::vector<std::uint64_t> expireQuarantine(PromptQuarantine &quarantine, Millis now,
                                            const QuarantinePolicy &policy = {});

} // namespace ibislock::serving
