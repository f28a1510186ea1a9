// Finds requests and parts of prompts that crash the targets that run them, and quarantines them: such a request, and
// requests with such a part, are refused until they are known to be harmless. A crash makes all requests suspect whose
// first event was due at that target, and all parts of their prompts, which other requests share. A part is quarantined
// once several engines have crashed under it at different moments and no request with it has been answered since; a
// request once several targets have crashed under it and it has not been answered since, at different moments if it was
// answered a short time before. VMs pool what they know with `quarantine_report.h`.
//
//     recordAnswer(quarantine, suspects, now);                    // the first event of a response
//     recordCrash(quarantine, {.engine = e, .suspects = suspects}, now);
//     for (const Suspect &suspect : quarantineSuspects(quarantine, now)) { log(suspect); }
//     if (findQuarantined(quarantine, suspects)) { refuse(); }

#pragma once

#include "ibislock/base/clock.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ibislock::serving
{

/// What may crash a target.
enum class SuspectKind : std::uint8_t {
    Part, ///< A part of prompts, which requests share.
    Request, ///< A whole request, which its caller sends again.
};

/// A part of prompts, by its id, or a request, by its digest.
struct Suspect
{
    Suspect(std::uint64_t number = 0, SuspectKind what = SuspectKind::Part)
        : id(number)
        , kind(what)
    {
    }

    friend auto operator<=>(const Suspect &, const Suspect &) = default;

    std::uint64_t id;
    SuspectKind kind;
};

/// Hashes suspects for unordered containers.
struct SuspectHash
{
    std::size_t operator()(const Suspect &suspect) const
    {
        return std::hash<std::uint64_t>()(suspect.id) + static_cast<std::size_t>(suspect.kind);
    }
};

/// Returns the suspects of a request: the parts of its prompt that other requests may share, in their order, and
/// itself.
std::vector<Suspect> suspectsOf(const std::vector<std::uint64_t> &parts, std::uint64_t request);

/// A request whose target crashed before the request's first event, or a part of its prompt.
struct CrashSuspicion
{
    std::uint64_t engine = 0; ///< Identifies the incarnation of the target.
    Suspect part;
    Millis at{0}; ///< When the crash was noticed.
    bool responding = false; ///< The target had begun to respond to the request.
    int depth = 0; ///< Position of the part in its prompt; a request comes after its parts.
    int reportsLeft = 0; ///< Reports that will still contain it.
};

/// The last answer to a request with a part, or to a request.
struct AnsweredPart
{
    Millis at{0};
    int reportsLeft = 0; ///< Reports that will still contain it.
};

/// A part or a request that is in quarantine.
struct QuarantinedPart
{
    Millis since{0};
    Millis lastRequestAt{0}; ///< When such a request last arrived at any entry VM.
    std::uint64_t origin = 0; ///< The entry VM that probes it.
    Millis probeAt{0}; ///< When one such request may be sent.
    Millis probeInterval{0};
};

/// What a VM knows of requests and parts of prompts that crash targets. All times are of one monotonic clock of the VM.
struct PromptQuarantine
{
    std::uint64_t self = 0; ///< Identifies this VM.
    std::uint64_t forwardOneIn = 1; ///< Of the suspicions and answers that others report, one in so many is passed on.
    std::unordered_map<Suspect, std::vector<CrashSuspicion>, SuspectHash> suspicions;
    std::size_t suspicionCount = 0; ///< Number of suspicions of all suspects.
    /// Holds the latest answers: those with any part, and those to requests that were suspects.
    std::unordered_map<Suspect, AnsweredPart, SuspectHash> answers;
    std::unordered_map<Suspect, AnsweredPart, SuspectHash> olderAnswers; ///< The generation before `answers`.
    /// When this VM last got answers to other requests; VMs may report later that these are suspects.
    std::unordered_map<Suspect, Millis, SuspectHash> answeredRequests;
    std::unordered_map<Suspect, Millis, SuspectHash> olderAnsweredRequests; ///< The generation before.
    std::map<Suspect, QuarantinedPart> parts;
    std::map<Suspect, Millis> releasedParts; ///< When a suspect left quarantine without an answer.
    std::vector<Suspect> unreportedParts; ///< Rest of the full report, which may take several datagrams.
    bool fullReportForAll = false; ///< That report goes to all receivers.
    Millis lastFullReportAt{0};
    Millis lastSuspicionAt{0}; ///< When a suspicion was last added.
    bool hasUnreported = false; ///< Some entries have reports left.
};

/// Thresholds and times of the decisions.
struct QuarantinePolicy
{
    int momentThreshold = 3; ///< Crashes at different moments after which a part is quarantined.
    int requestThreshold = 3; ///< Crashes, or moments for an answered request, after which a request is quarantined.
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
inline constexpr std::size_t MaxSuspicions = 1024;

/// Maximum number of entries in one generation of answers.
inline constexpr std::size_t MaxAnswers = 1024;

/// Maximum number of parts and requests in quarantine.
inline constexpr std::size_t MaxQuarantinedParts = 64;

/// Returns the number that identifies one incarnation of an engine in all VMs.
/// @param startedAt start of the incarnation in Unix milliseconds, as listed.
std::uint64_t incarnationOf(std::string_view engine, std::int64_t startedAt);

/// A request whose target crashed before the request's first event.
struct EngineCrash
{
    std::uint64_t engine = 0; ///< Identifies the incarnation of the target.
    const std::vector<Suspect> &suspects; ///< The request and the parts of its prompt that other requests may share.
    bool responding = false; ///< The target had begun to respond to the request.
};

/// Records such a crash. Other VMs are told of it, but for parts that were answered a short time ago only from the
/// second crash on, as most crashes have another cause and most parts are shared by many requests.
void recordCrash(PromptQuarantine &quarantine, const EngineCrash &crash, Millis now,
                 const QuarantinePolicy &policy = {});

/// Records the first event of a response, which clears the request and all parts of its prompt.
/// @return the suspects that it released from quarantine.
std::vector<Suspect> recordAnswer(PromptQuarantine &quarantine, const std::vector<Suspect> &suspects, Millis now);

/// Quarantines the suspects that explain the recorded crashes.
/// @return the suspects that are new in quarantine.
std::vector<Suspect> quarantineSuspects(PromptQuarantine &quarantine, Millis now, const QuarantinePolicy &policy = {});

/// Finds one of a request's suspects that is in quarantine.
/// @return the suspect, or nothing.
std::optional<Suspect> findQuarantined(const PromptQuarantine &quarantine, const std::vector<Suspect> &suspects);

/// Records the arrival of a request that is in quarantine, and decides whether it is sent as a probe.
/// @return whether it may be sent, once and to one target.
bool tryProbe(PromptQuarantine &quarantine, const Suspect &suspect, Millis now);

/// Returns the time until the next probe of a suspect that is in quarantine; at least a second.
Millis timeUntilProbe(const PromptQuarantine &quarantine, const Suspect &suspect, Millis now);

/// Drops what is out of date, and releases suspects for which no requests come or that are in quarantine for long.
/// @return the suspects that were released.
std::vector<Suspect> expireQuarantine(PromptQuarantine &quarantine, Millis now, const QuarantinePolicy &policy = {});

} // namespace ibislock::serving
