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

#include "ibislock/requests/call_key.h"
#include "ibislock/requests/request.h"

#include <map>

namespace ibislock::requests
{

/// Limits of the register.
struct KeyRegisterOptions
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::size_t keysMax = 100000;
    std::size_t answerBytesMax = 64 << 10; ///< Longer answers are not kept.
    std::size_t allAnswersBytesMax = 32 << 20; ///< Answers beyond this are not kept.
    Millis lifetime{600000}; ///< How long after its minting a key may run.
    Millis clockSkew{60000}; ///< How far into the future a key's time may lie.
};

/// What is known of one key.
struct KnownKey
{
    enum class State { Running, Ended, Refused };

    State state = State::Running;
    Millis forgetAt{0};
    AnswerEnd end;
    std::optional<std::string> answer; ///< The whole body, where it was short enough.
};

/// The register.
struct KeyRegister
{
    KeyRegisterOptions options;
    std::map<std::string, KnownKey, std::less<>> known;
    std::multimap<Millis, std::string> byAge; ///< When to forget which key.
    std::size_t answerBytes = 0; ///< Of the answers that are kept.
};

/// What to do with a call that carries a key.
enum class KeyDecision {
    Run, ///< It is the first time; the key now counts as running.
    Replay, ///< It has ended; the kept answer is its answer again.
    Refuse, ///< It was not run and never will be.
    Unknown, ///< It may have run.
};

/// A decision and its reason.
struct KeyVerdict
{
    KeyDecision decision = KeyDecision::Unknown;
    Refusal refusal = Refusal::None;
    std::string message;
    const KnownKey *known = nullptr; ///< What to replay.
};

/// Decides on a call.
/// @param workspace whose call it is; keys of different workspaces never meet.
/// @param now the wall clock at the start of the process plus monotonic time since.
KeyVerdict begin(KeyRegister &keys, const std::string &workspace, const std::string &text, Millis now);

/// Marks a key as refused: the call was admitted and then not run.
void refuse(KeyRegister &keys, const std::string &workspace, const std::string &text);

/// Keeps the end of a call that ran.
void finish(KeyRegister &keys, const std::string &workspace, const std::string &text, const AnswerEnd &end,
            std::string body);

} // namespace ibislock::requests
