// What the spread experiment is asked to do, and the bound that it is measured against.

#pragma once

#include "ibislock/weights/planner.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ibislock::lab
{

/// Faults; those that are zero do not happen. Any may be combined.
struct SpreadFaults
{
    double corrupt = 0; ///< Probability that a chunk arrives corrupted, from a peer or the store.
    unsigned kill = 0; ///< Targets that die mid-way and start again.
    unsigned stall = 0; ///< Targets whose links stall mid-way for a while.
    double originOutageSeconds = 0;
    bool versionChange = false; ///< The origin changes the version mid-way; a ticket then names the new content.
    double partitionSeconds = 0; ///< How long the last domain is cut off.
    double lostAnswers = 0; ///< Probability that the store's or an engine's answer is lost.
    bool overtake = false; ///< A newer ticket is filed mid-way.

    bool any() const;
};

/// One run.
struct SpreadOptions
{
    unsigned targets = 8;
    unsigned domains = 1;
    double mib = 16;
    double linkMibPerS = 4; ///< Of each VM, each way.
    double originMibPerS = 8;
    std::optional<double> pairMibPerS; ///< Between each two domains, each way; each domain is a region then.
    weights::Policy policy = weights::Policy::Rendezvous;
    double liveRps = 0;
    std::uint64_t seed = 1;
    std::uint64_t chunkKib = 0; ///< Zero chooses a size from the version's.
    double timeoutSeconds = 0; ///< Zero chooses one from the bound.
    SpreadFaults faults;
};

/// Reads one fault, such as `kill=2` or `overtake`.
/// @return whether it is known and well-formed.
bool readFault(SpreadFaults &faults, const std::string &text);

/// Gives the time below which no system can bring the version to all targets.
double boundSeconds(const SpreadOptions &options);

/// Gives the size of a chunk.
std::uint64_t chunkBytes(const SpreadOptions &options);

} // namespace ibislock::lab
