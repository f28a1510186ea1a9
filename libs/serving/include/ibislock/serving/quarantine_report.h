// Reports with which VMs pool what they know of requests and parts of prompts that crash targets. An entry VM sends a
// report to a few target VMs, and each of these passes on what is new to it. Nothing is reported while no engine
// crashes.
//
//     if (auto report = makeReport(quarantine, now)) { send(*report); }
//     ReportChanges changes = applyReport(quarantine, report, now);   // a report of another VM

#pragma once

#include "ibislock/serving/prompt_quarantine.h"

namespace ibislock::serving
{

/// What one VM tells others. Ages count from the moment at which it is made.
struct QuarantineReport
{
    /// A `CrashSuspicion` with its age.
    struct Suspicion
    {
        std::uint64_t engine = 0;
        Suspect part;
        Millis age{0};
        bool responding = false;
        int depth = 0;
    };

    /// An `AnsweredPart` with its age.
    struct Answer
    {
        Suspect part;
        Millis age{0};
    };

    /// A `QuarantinedPart` with its ages.
    struct Part
    {
        Suspect part;
        std::uint64_t origin = 0;
        Millis age{0};
        Millis requestAge{0};
    };

    std::vector<Suspicion> suspicions;
    std::vector<Answer> answers;
    std::vector<Part> parts;
    bool forAll = false; ///< Parts are new in quarantine, so that it goes to all receivers. Not sent.
};

/// Number of target VMs to which an entry VM sends a report. Each passes it on to entry VMs that ask for its load.
inline constexpr std::size_t EntryReportFanout = 3;

/// Number of entry VMs to which a target VM passes a report on that isn't for all of them.
inline constexpr std::size_t TargetReportFanout = 6;

/// The `forwardOneIn` of entry VMs, as each of them hears of a suspicion from several target VMs.
inline constexpr std::uint64_t EntryForwardOneIn = 3;

/// Shortest time between two reports of an entry VM, and of a target VM.
inline constexpr Millis EntryReportInterval{60};
inline constexpr Millis TargetReportInterval{50};

/// Maximum number of suspicions, answers and parts in a report, so that it fits into a datagram.
inline constexpr std::size_t MaxReportedSuspicions = 24;
inline constexpr std::size_t MaxReportedAnswers = 16;
inline constexpr std::size_t MaxReportedParts = 16;

/// Makes a report of what has not been reported often enough, and of all that is in quarantine from time to time. What
/// does not fit is in the next report.
/// @return the report, or nothing if there is nothing to report.
std::optional<QuarantineReport> makeReport(PromptQuarantine &quarantine, Millis now,
                                           const QuarantinePolicy &policy = {});

/// What a report changed.
struct ReportChanges
{
    std::vector<Suspect> quarantined;
    std::vector<Suspect> released;
};

/// Applies the report of another VM.
ReportChanges applyReport(PromptQuarantine &quarantine, const QuarantineReport &report, Millis now,
                          const QuarantinePolicy &policy = {});

} // namespace ibislock::serving
