// A caller's request and its response, as they are sent between an entry process and a target process.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/digest.h"
#include "ibislock/requests/outcome.h"
#include "ibislock/requests/priority.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ibislock::requests
{

/// The size of a request id, in random bytes.
inline constexpr std::size_t RequestIdBytes = 16;

/// One attempt of a request, as sent to a target.
struct Request
{
    std::string id; ///< Random bytes that can't be guessed; new for every attempt.
    std::string entryVm;
    std::uint64_t entryIncarnation = 0;
    std::string workspace;
    std::string role;
    Digest manifest; ///< The version that must respond; none for a plain service.
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    bool stream = false;
    bool idempotent = true;
    Millis timeLeft{0};
    Priority priority = Priority::Normal;
    std::uint32_t cost = 1; ///< Expected work in tokens, for fair queueing.
    std::string idempotencyKey; ///< In the form of idempotency_key.h; empty for none.
    std::uint32_t resumeFrom = 0; ///< Number of the stream's events that the caller has already received.
};

/// One part of a response; parts are numbered in order.
struct ResponsePart
{
    std::string id;
    std::uint32_t index = 0;
    std::string data;
};

/// The end of a response. It repeats the identity of the request and counts the parts and bytes, so that a response of
/// another request and a truncated one are detected.
struct ResponseEnd
{
    std::string id;
    std::uint64_t entryIncarnation = 0;
    std::string workspace;
    Digest manifest;
    Outcome outcome = Outcome::Unknown;
    std::string message; ///< Why there is no response, or the engine's error instead of a stream.
    std::uint16_t status = 0; ///< HTTP status of the engine or service.
    std::string contentType;
    std::uint32_t parts = 0;
    std::uint64_t bytes = 0;
    Millis retryAfter{0};
    Refusal refusal = Refusal::None; ///< Why the target did not run the request.
    std::optional<std::uint32_t> cachedBytes; ///< Bytes of the prompt that the engine found in its prefix cache.
};

} // namespace ibislock::requests
