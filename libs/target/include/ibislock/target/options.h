// Options of a target daemon.

#pragma once

#include "ibislock/base/settings.h"
#include "ibislock/engine/engine_client.h"
#include "ibislock/node/node.h"
#include "ibislock/weights/rollout.h"
#include "ibislock/weights/token_bucket.h"

namespace ibislock::target
{

/// What stands beside the target process.
enum class BackendKind { Engine, Service };

/// External names of the back ends, as in the settings.
inline constexpr NameTable<BackendKind, 2> BackendKindNames{{
    {BackendKind::Engine, "engine"},
    {BackendKind::Service, "service"},
}};

/// Everything that a target daemon needs to know.
struct TargetOptions
{
    node::NodeOptions node;
    std::uint16_t rpcPort = 0;
    BackendKind backend = BackendKind::Engine;
    engine::EngineOptions engine;
    platform::EndpointOptions store;
    std::uint64_t chunkStoreBytes = 1ULL << 30;
    std::uint32_t fetches = 4; ///< Chunks fetched at the same time.
    Millis takeover{2000}; ///< How long the first fetcher of a chunk may be silent.
    weights::RateOptions upload; ///< What other targets may draw from this one.
    weights::RateOptions origin; ///< What this target may draw from the store.
    weights::RolloutOptions rollout;
    std::uint32_t concurrency = 64; ///< Requests in progress at the same time.
    std::map<std::string, double, std::less<>> shares; ///< Weights of the workspaces; 1 for those not named.
    Millis queueTimeout{1000}; ///< How long a request may wait for the engine.
    Millis retryAfter{1000}; ///< When a refused caller is told to come back.
    Millis drainGrace{10000}; ///< How long requests in progress may hold up a load.
    Millis retryInterval{500}; ///< The pause after a failed activation.
};

} // namespace ibislock::target
