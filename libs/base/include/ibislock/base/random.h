// Random numbers.
//
// Functions that make random decisions take a generator as an argument, `Random &`. Daemons seed one generator per
// thread from the operating system; tests use fixed seeds. Identifiers that must not be guessed come from
// `secureRandomBytes()`.

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <random>
#include <string>

namespace ibislock
{

/// The generator for random decisions; it is not suitable for identifiers that must not be guessed.
using Random = std::mt19937_64;

/// Creates a generator with a seed from the operating system.
Random systemRandom();

/// Generates cryptographically secure random bytes.
/// @param count the number of bytes.
/// @return the raw bytes.
std::string secureRandomBytes(std::size_t count);

/// Generates a random non-zero number that identifies one incarnation of a process.
std::uint64_t newIncarnation();

/// Returns a random delay in the upper half of an interval, so that many processes do not act at the same time.
/// @param random the generator to use.
/// @param interval the maximum delay.
/// @return a delay between half the interval and the interval.
Millis jittered(Random &random, Millis interval);

} // namespace ibislock
