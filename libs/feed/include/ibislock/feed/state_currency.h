// Whether a VM knows the newest desired state, so that it may refuse what its state doesn't contain. No I/O.
//
//     if (!isStateCurrent({.endKnownAt = feed.endKnownAt()}, stateTime, bootMillis())) { ... }

#pragma once

#include "ibislock/base/clock.h"

namespace ibislock::feed
{

/// What a VM knows of the operators' topic.
struct OperatorsKnowledge
{
    bool behind = false; ///< Records are known to exist that are unread.
    bool storeUnreachable = false; ///< The last call to the store failed.
    Millis endKnownAt{0}; ///< The latest time, by the boot clock, at which the topic had no records that are unread.
};

/// Returns whether each desired state that must be in effect is known. A state that isn't may contain routes and keys
/// that the known one lacks.
/// @param stateTime the time within which a desired state must take effect.
/// @param now by the boot clock.
bool isStateCurrent(const OperatorsKnowledge &knowledge, Millis stateTime, Millis now);

} // namespace ibislock::feed
