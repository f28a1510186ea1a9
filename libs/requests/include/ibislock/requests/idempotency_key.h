// Idempotency keys. The system mints a key before the call. The key names the target that will run the call and the
// incarnation of that target's process, so that every entry process routes every attempt to the process that records
// the key.
//
//     std::string key =
//         formatIdempotencyKey({.vm = "target1", .incarnation = 7, .mintedAt = wallMillis(), .nonce = "..."});
//     std::optional<IdempotencyKey> parsed = parseIdempotencyKey(key);

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ibislock::requests
{

/// The fields of an idempotency key.
struct IdempotencyKey
{
    std::string vm;
    std::uint64_t incarnation = 0;
    Millis mintedAt{0}; ///< Wall clock of the entry process that minted the key.
    std::string nonce; ///< Random characters that can't be guessed; they make the key unique.

    bool operator==(const IdempotencyKey &) const = default;
};

/// Formats a key as `vm.incarnation.time.nonce`, with the numbers in decimal and the time in milliseconds.
std::string formatIdempotencyKey(const IdempotencyKey &key);

/// Parses a key from the form that `formatIdempotencyKey` writes.
/// @return the key, or nothing if the text does not have that form.
std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view text);

} // namespace ibislock::requests
