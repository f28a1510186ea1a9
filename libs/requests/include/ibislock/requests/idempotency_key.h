// Idempotency keys. The system mints a key before the call; the key names the target that will run the call and the
// life of that target's process, so that every entry process leads every attempt to the same memory of it.
//
//     std::string key = keyToText({.vm = "target1", .incarnation = 7, .mintedAt = wallMillis(), .nonce = "..."});
//     std::optional<CallKey> read = keyFromText(key);

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ibislock::requests
{

/// A key's parts.
struct IdempotencyKey
{
    std::string vm;
    std::uint64_t incarnation = 0;
    Millis mintedAt{0}; ///< Wall clock of the entry process that minted it.
    std::string nonce; ///< Unguessable characters; makes the key unique.

    bool operator==(const IdempotencyKey &) const = default;
};

/// Writes a key: `vm.incarnation.time.nonce`, the numbers in decimal.
std::string formatIdempotencyKey(const IdempotencyKey &key);

/// Reads a key.
/// @return the key, or nothing when the text is not of that form.
std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view text);

} // namespace ibislock::requests
