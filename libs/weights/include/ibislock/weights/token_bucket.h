// Token buckets limit the rate of links. They have no threads and read no clock.
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
    double bytesPerSecond = 0; ///< 0 means unlimited.
    double burstBytes = 65536;
};

/// The state of a rate limit. The number of tokens is negative while reserved bytes wait to be sent.
struct TokenBucket
{
    RateOptions options;
    double tokens = 0;
    Millis refilledAt{0};
};

/// Creates a full bucket.
TokenBucket makeBucket(const RateOptions &options, Millis now);

/// Consumes tokens for some bytes, in the order of the calls.
/// @return how long to wait before the bytes may be sent.
Millis reserve(TokenBucket &bucket, std::uint64_t bytes, Millis now);

/// Returns how long to wait before some bytes may be sent, without consuming tokens.
Millis timeUntilAvailable(const TokenBucket &bucket, std::uint64_t bytes, Millis now);

/// Returns the tokens that were consumed for bytes which were not sent.
void refund(TokenBucket &bucket, std::uint64_t bytes);

/// Changes the rate from `now` on; tokens earned so far are kept.
void setRate(TokenBucket &bucket, double bytesPerSecond, Millis now);

} // namespace ibislock::weights
