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
    const double elapsed = static_cast<double>(std::max(now - bucket.filledAt, Millis(0)).count()) / MillisPerSecond;
    return std::min(bucket.options.burstBytes, bucket.level + elapsed * bucket.options.bytesPerSecond);
}

} // namespace

TokenBucket makeBucket(const RateOptions &options, Millis now)
{
    return {.options = options, .level = options.burstBytes, .filledAt = now};
}

Millis reserve(TokenBucket &bucket, std::uint64_t bytes, Millis now)
{
    if (bucket.options.bytesPerSecond <= 0) {
        return Millis(0);
    }
    const Millis wait = waitFor(bucket, bytes, now);
    bucket.level = levelAt(bucket, now) - static_cast<double>(bytes);
    bucket.filledAt = std::max(now, bucket.filledAt);
    return wait;
}

Millis waitFor(const TokenBucket &bucket, std::uint64_t bytes, Millis now)
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
    bucket.level = std::min(bucket.options.burstBytes, bucket.level + static_cast<double>(bytes));
}

void setRate(TokenBucket &bucket, double bytesPerSecond, Millis now)
{
    bucket.level = levelAt(bucket, now);
    bucket.filledAt = std::max(now, bucket.filledAt);
    bucket.options.bytesPerSecond = bytesPerSecond;
}

} // namespace ibislock::weights
