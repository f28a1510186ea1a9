// Options of a target daemon.

#pragma once

#include "ibislock/base/settings.h"
#include "ibislock/configuration/lease.h"
#include "ibislock/engine/engine_client.h"
#include "ibislock/node/node.h"
#include "ibislock/weights/planner.h"
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
    std::size_t rpcConnectionsMax = 4096;
    std::uint64_t rpcUnfinishedBytesMax = 512ULL << 20;
    BackendKind backend = BackendKind::Engine;
    engine::EngineOptions engine;
    stores::EndpointOptions store;
    std::uint64_t chunkStoreBytes = 1ULL << 30;
    weights::PlanOptions plan; ///< VM and domain are filled in from the node's options.
    weights::RateOptions upload; ///< What other targets may draw from this one.
    weights::RateOptions download; ///< What this target may draw in all.
    weights::RateOptions origin; ///< What this target may draw from the store.
    weights::RateOptions pair; ///< What may flow from one region to another, all VMs together.
    double share = 1.0; ///< The part of each rate that weights may use.
    double busyShare = 0.25; ///< The part of the share that is left to weights while requests are slow.
    Millis uploadQueue{250}; ///< How long others may wait for the uplink; beyond it they are refused.
    weights::RolloutOptions rollout;
    std::uint32_t concurrency = 64; ///< Requests in progress at the same time.
    std::map<std::string, double, std::less<>> shares; ///< Weights of the workspaces; 1 for those not named.
    Millis queueTimeout{1000}; ///< How long a request may wait for the engine.
    Millis retryAfter{1000}; ///< When a refused caller is told to come back.
    Millis drainGrace{10000}; ///< How long requests in progress may hold up a load.
    Millis readBackInterval{1000}; ///< The time between two checks of what the engine serves.
    configuration::LeaseOptions lease;
    Millis retryInterval{500}; ///< The pause after a failed activation.
};

} // namespace ibislock::target
