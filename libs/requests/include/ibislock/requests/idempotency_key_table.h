// A target's memory of the idempotency keys that it has met in this life of its process.
//
//     KeyRegister known{.options = {.incarnation = 7}};
//     KeyVerdict verdict = begin(known, key, text, now);      // Run: the first time, and only then
//     finish(known, text, end, body);
//
// A key runs at most once because only the target that it names may run it, only in the life that it names, only
// while the key is young, and only if the register has not met it. A key is forgotten when it is too old to run; the
// same clock decides both. A key that was refused stays refused, since "not run" must stay true.

#pragma once

#include "ibislock/requests/idempotency_key.h"
#include "ibislock/requests/request.h"

#include <map>

namespace ibislock::requests
{

/// Limits of the register.
struct IdempotencyKeyTableOptions
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::size_t keysMax = 100000;
    std::size_t responseBytesMax = 64 << 10; ///< Longer answers are not kept.
    std::size_t totalResponseBytesMax = 32 << 20; ///< Answers beyond this are not kept.
    Millis lifetime{600000}; ///< How long after its minting a key may run.
    Millis clockSkew{60000}; ///< How far into the future a key's time may lie.
};

/// What is known of one key.
struct KeyEntry
{
    enum class State { Running, Ended, Refused };

    State state = State::Running;
    Millis expiresAt{0};
    ResponseEnd end;
    std::optional<std::string> response; ///< The whole body, where it was short enough.
};

/// The register.
struct IdempotencyKeyTable
{
    IdempotencyKeyTableOptions options;
    std::map<std::string, KeyEntry, std::less<>> entries;
    std::multimap<Millis, std::string> byExpiry; ///< When to forget which key.
    std::size_t responseBytes = 0; ///< Of the answers that are kept.
};

/// What to do with a call that carries a key.
enum class KeyDecision {
    Run, ///< It is the first time; the key now counts as running.
    Replay, ///< It has ended; the kept answer is its answer again.
    Refuse, ///< It was not run and never will be.
    Unknown, ///< It may have run.
};

/// A decision and its reason.
struct BeginCallResult
{
    KeyDecision decision = KeyDecision::Unknown;
    Refusal refusal = Refusal::None;
    std::string message;
    const KeyEntry *entry = nullptr; ///< What to replay.
};

/// Decides on a call.
/// @param workspace whose call it is; keys of different workspaces never meet.
/// @param now the wall clock at the start of the process plus monotonic time since.
BeginCallResult beginCall(IdempotencyKeyTable &keys, const std::string &workspace, const std::string &text, Millis now);

/// Marks a key as refused: the call was admitted and then not run.
void markRefused(IdempotencyKeyTable &keys, const std::string &workspace, const std::string &text);

/// Keeps the end of a call that ran.
void finishCall(IdempotencyKeyTable &keys, const std::string &workspace, const std::string &text,
                const ResponseEnd &end, std::string body);

} // namespace ibislock::requests
