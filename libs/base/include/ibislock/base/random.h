// Randomness as an argument.
//
// Decision functions take a `Random &`. Daemons seed one generator per thread from the system; tests use fixed seeds.
// Identifiers that must not be guessed come from `unguessableBytes()`.

#pragma once

#include "ibislock/base/clock.h"

#include <cstdint>
#include <random>
#include <string>

namespace ibislock
{

/// The generator that decisions draw from.
using Random = std::mt19937_64;

/// Creates a generator with a seed from the operating system.
Random systemRandom();

/// Draws cryptographically strong bytes.
/// @param count the number of bytes.
/// @return the bytes, not encoded.
std::string secureRandomBytes(std::size_t count);

/// Draws a non-zero 64-bit number that marks one life of a process.
std::uint64_t newIncarnation();

/// Spreads a delay over the upper half of an interval, so that many processes do not act at once.
/// @param random the source of randomness.
/// @param interval the longest delay.
/// @return a delay between half the interval and the interval.
Millis jittered(Random &random, Millis interval);

} // namespace ibislock
