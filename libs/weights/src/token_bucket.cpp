#include "ibislock/weights/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace ibislock::weights
{

namespace
{

constexpr double MillisPerSecond = 1000.0;

double levelAt(const TokenBucket &bucket, Millis now)
{
    const double elapsed = static_cast<double>(std::max(now - bucket.refilledAt, Millis(0)).count()) / MillisPerSecond;
    return std::min(bucket.options.burstBytes, bucket.tokens + elapsed * bucket.options.bytesPerSecond);
}

} // namespace

TokenBucket makeBucket(const RateOptions &options, Millis now)
{
    return {.options = options, .tokens = options.burstBytes, .refilledAt = now};
}

Millis reserve(TokenBucket &bucket, std::uint64_t bytes, Millis now)
{
    if (bucket.options.bytesPerSecond <= 0) {
        return Millis(0);
    }
    const Millis wait = timeUntilAvailable(bucket, bytes, now);
    bucket.tokens = levelAt(bucket, now) - static_cast<double>(bytes);
    bucket.refilledAt = std::max(now, bucket.refilledAt);
    return wait;
}

Millis timeUntilAvailable(const TokenBucket &bucket, std::uint64_t bytes, Millis now)
{
    const double rate = bucket.options.bytesPerSecond;
    const double level = levelAt(bucket, now) - static_cast<double>(bytes);
    if (rate <= 0 || level >= 0) {
        return Millis(0);
    }
    return Millis(static_cast<Millis::rep>(std::ceil(-level / rate * MillisPerSecond)));
}

void refund(TokenBucket &bucket, std::uint64_t bytes)
{
    bucket.tokens = std::min(bucket.options.burstBytes, bucket.tokens + static_cast<double>(bytes));
}

void setRate(TokenBucket &bucket, double bytesPerSecond, Millis now)
{
    bucket.tokens = levelAt(bucket, now);
    bucket.refilledAt = std::max(now, bucket.refilledAt);
    bucket.options.bytesPerSecond = bytesPerSecond;
}

} // namespace ibislock::weights
