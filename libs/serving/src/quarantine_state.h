// Changes of the state of a quarantine that its decisions and its reports share.

#pragma once

#include "ibislock/serving/prompt_quarantine.h"

namespace ibislock::serving
{

/// How many reports contain an entry that this VM observed, as datagrams get lost.
inline constexpr int ReportsOfOwn = 2;

/// Returns how many reports contain an entry that another VM reported.
/// @param entry a number that identifies the entry.
int reportsOfOthers(const PromptQuarantine &quarantine, std::uint64_t entry);

/// Makes sure that an answer is in so many reports.
void scheduleReports(PromptQuarantine &quarantine, AnsweredPart &answer, int reports);

/// Returns whether an answer shows that its part was harmless a short time ago.
bool wasAnsweredLately(const AnsweredPart &answer, Millis now, const QuarantinePolicy &policy);

/// Finds the last answer to a request with a part, or to a request.
/// @return the answer; null if none is known.
AnsweredPart *findAnswer(PromptQuarantine &quarantine, const Suspect &part);

/// Returns when this VM last got an answer to a request that it did not suspect.
std::optional<Millis> lastAnswerToRequest(const PromptQuarantine &quarantine, const Suspect &request);

/// Adds that answer to the answers that are reported, if it isn't older than what others report of the request.
void keepAnswerSince(PromptQuarantine &quarantine, const Suspect &suspect, Millis since);

/// Removes the suspicions of a part up to a time.
void eraseSuspicions(PromptQuarantine &quarantine, const Suspect &part, Millis upTo);

/// Adds a suspicion, or completes the one of the same crash.
void addSuspicion(PromptQuarantine &quarantine, const CrashSuspicion &suspicion, Millis now);

/// Puts a part into quarantine. If the quarantine is full, it replaces the part without requests for the longest time,
/// unless requests with that one came a short time ago.
/// @return whether there was room.
bool quarantinePart(PromptQuarantine &quarantine, const Suspect &part, const QuarantinedPart &entry);

/// Applies an answer to a request with a part.
/// @param own whether this VM got the answer.
/// @return whether the part was released from quarantine.
bool applyAnswer(PromptQuarantine &quarantine, const Suspect &part, Millis at, bool own);

} // namespace ibislock::serving
