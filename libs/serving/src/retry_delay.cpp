#include "ibislock/serving/retry_delay.h"

namespace ibislock::serving
{

namespace
{

/// A span of times.
struct Span
{
    Millis shortest{0};
    Millis longest{0};
};

/// An engine frees a slot each 100 ms; a caller that comes back in this time can still get its first event in time.
constexpr Span FullSpan{Millis{150}, Millis{400}};

/// Weights are on an engine some 4 s after it has lost them, a target that restarted answers after some seconds.
constexpr Span NoneUsableSpan{Millis{1400}, Millis{2200}};

/// Only as long as it takes to open a connection to another VM.
constexpr Span ElsewhereSpan{Millis{20}, Millis{100}};

Span spanOf(RefusalCause cause)
{
    switch (cause) {
    case RefusalCause::Full:
        return FullSpan;
    case RefusalCause::NoUsableTarget:
        return NoneUsableSpan;
    case RefusalCause::Redirect:
        return ElsewhereSpan;
    }
    return NoneUsableSpan;
}

} // namespace

Millis suggestedRetryDelay(RefusalCause cause, Random &random, Millis closedFor)
{
    const Span span = spanOf(cause);
    return closedFor
        + Millis{std::uniform_int_distribution<std::int64_t>(span.shortest.count(), span.longest.count())(random)};
}

} // namespace ibislock::serving
