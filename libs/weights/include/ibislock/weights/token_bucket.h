// Token buckets: rate limits for links, without threads or clocks of their own.
//
//     TokenBucket bucket = makeBucket({.bytesPerSecond = 1e6, .burstBytes = 65536}, now);
//     Millis wait = reserve(bucket, bytes, now);      // send after this delay

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>

namespace ibislock::weights
{

/// The rate of a link.
struct RateOptions
{
    double bytesPerSecond = 0; ///< Zero means without limit.
    double burstBytes = 65536;
};

/// The state of a rate limit. The level goes below zero while reserved bytes wait.
struct TokenBucket
{
    RateOptions options;
    double tokens = 0;
    Millis refilledAt{0};
};

/// Creates a full bucket.
TokenBucket makeBucket(const RateOptions &options, Millis now);

/// Takes tokens for some bytes, in the order of the calls.
/// @return how long to wait before the bytes may be sent.
Millis reserve(TokenBucket &bucket, std::uint64_t bytes, Millis now);

/// Tells how long to wait before some bytes may be sent, without taking tokens.
Millis timeUntilAvailable(const TokenBucket &bucket, std::uint64_t bytes, Millis now);

/// Gives tokens back that were taken for bytes that did not flow.
void refund(TokenBucket &bucket, std::uint64_t bytes);

/// Changes the rate from now on.
void setRate(TokenBucket &bucket, double bytesPerSecond, Millis now);

} // namespace ibislock::weights
