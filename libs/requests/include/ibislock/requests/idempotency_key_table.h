// The idempotency keys that a target has seen in the current incarnation of its process.
//
//     IdempotencyKeyTable keys{.options = {.vm = "target1", .incarnation = 7}};
//     BeginCallResult result = beginCall(keys, workspace, key, now);      // Run for the first call with a key only
//     finishCall(keys, workspace, key, end, body);
//
// A call with a key runs at most once, because only the target that the key names may run it, only in the incarnation
// that the key names, only until the key expires, and only if the table has no entry for it. An entry is removed when
// its key has expired and can no longer run; the same clock decides both. A refused key stays refused, because the
// caller was told "not run" and that must stay true.

#pragma once

#include "ibislock/requests/idempotency_key.h"
#include "ibislock/requests/request.h"

#include <map>

namespace ibislock::requests
{

/// Identity of the target process, and limits of the table.
struct IdempotencyKeyTableOptions
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::size_t keysMax = 100000;
    std::size_t responseBytesMax = 64 << 10; ///< Longer responses are not stored.
    std::size_t totalResponseBytesMax = 32 << 20; ///< Limit on the size of all stored responses.
    Millis lifetime{600000}; ///< How long after it was minted a key may run.
    Millis clockSkew{60000}; ///< How far in the future the time of a key may lie.
};

/// The table's entry for one key.
struct KeyEntry
{
    enum class State { Running, Ended, Refused };

    State state = State::Running;
    Millis expiresAt{0};
    ResponseEnd end;
    std::optional<std::string> response; ///< The response body, if it fitted the limits.
};

/// The keys that a target process has seen.
struct IdempotencyKeyTable
{
    IdempotencyKeyTableOptions options;
    std::map<std::string, KeyEntry, std::less<>> entries;
    std::multimap<Millis, std::string> byExpiry; ///< The names of the entries by expiry time.
    std::size_t responseBytes = 0; ///< Total size of the stored responses.
};

/// How a call that carries a key is handled.
enum class KeyDecision {
    Run, ///< This is the first call with the key, which is now recorded as running.
    Replay, ///< The call has completed; the stored response is returned again.
    Refuse, ///< The call was not run and never will be.
    Unknown, ///< The call may have run.
};

/// The decision on a call, and its reason.
struct BeginCallResult
{
    KeyDecision decision = KeyDecision::Unknown;
    Refusal refusal = Refusal::None;
    std::string message;
    const KeyEntry *entry = nullptr; ///< The entry to replay; null for other decisions.
};

/// Decides how to handle a call, and records its key if the call is to run.
/// @param workspace the workspace of the call; equal keys of different workspaces are independent.
/// @param text the key as the caller sent it.
/// @param now the wall clock at the start of the process plus monotonic time since.
BeginCallResult beginCall(IdempotencyKeyTable &keys, const std::string &workspace, const std::string &text, Millis now);

/// Marks a key as refused, for a call that was admitted and then not run.
void markRefused(IdempotencyKeyTable &keys, const std::string &workspace, const std::string &text);

/// Records the end of a call that ran, and stores its response if the call was answered and the response fits the
/// limits. Does nothing if the key is unknown.
void finishCall(IdempotencyKeyTable &keys, const std::string &workspace, const std::string &text,
                const ResponseEnd &end, std::string body);

} // namespace ibislock::requests
