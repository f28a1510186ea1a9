#include "ibislock/target/settings.h"

#include "ibislock/node/settings.h"

#include <algorithm>

namespace ibislock::target
{

namespace
{

constexpr double HourMs = 3600000;
constexpr double ShareMin = 0.01;
constexpr double MiB = 1024.0 * 1024.0;

std::vector<SettingSpec> ownSpecs()
{
    return {
        {.section = "backend",
         .key = "kind",
         .type = SettingType::Choice,
         .fallback = "engine",
         .choices = "engine,service",
         .help = "What stands beside the target process."},
        {.section = "backend", .key = "url", .help = "Where the engine or service is."},
        {.section = "backend",
         .key = "concurrency",
         .type = SettingType::Integer,
         .fallback = "64",
         .min = 1,
         .max = 4096,
         .help = "Requests in progress at the same time."},
        {.section = "backend",
         .key = "drain_grace_ms",
         .type = SettingType::Integer,
         .fallback = "10000",
         .min = 0,
         .max = HourMs,
         .help = "How long requests in progress may hold up a load or a stop."},
        {.section = "backend",
         .key = "queue_timeout_ms",
         .type = SettingType::Integer,
         .fallback = "1000",
         .min = 1,
         .max = HourMs,
         .help = "How long a request may wait for the engine before it is refused."},
        {.section = "backend",
         .key = "retry_after_ms",
         .type = SettingType::Integer,
         .fallback = "1000",
         .min = 1,
         .max = HourMs,
         .help = "When a refused caller is told to come back."},
        {.section = "shares",
         .fallback = "",
         .help = "One line for each workspace with a weight other than 1: name = weight.",
         .anyKey = true},
        {.section = "weights", .key = "store_url", .help = "The platform's weight store."},
        {.section = "weights",
         .key = "memory_mib",
         .type = SettingType::Integer,
         .fallback = "1024",
         .min = 1,
         .max = 1048576,
         .help = "Memory for chunks."},
        {.section = "weights",
         .key = "fetches",
         .type = SettingType::Integer,
         .fallback = "8",
         .min = 1,
         .max = 64,
         .help = "Chunks asked of other targets at the same time."},
        {.section = "weights",
         .key = "policy",
         .type = SettingType::Choice,
         .fallback = "rendezvous",
         .choices = "rendezvous,random,chain,origin",
         .help = "How chunks spread; all but the first are for comparison."},
        {.section = "weights",
         .key = "neighbours",
         .type = SettingType::Integer,
         .fallback = "12",
         .min = 1,
         .max = 256,
         .help = "Targets of the own failure domain that are asked for chunks."},
        {.section = "weights",
         .key = "store_domain",
         .fallback = "",
         .help = "Failure domain in which the store stands; empty when it is near to all."},
        {.section = "weights",
         .key = "chunk_timeout_ms",
         .type = SettingType::Integer,
         .fallback = "5000",
         .min = 1,
         .max = HourMs,
         .help = "How long another target may take for a chunk."},
        {.section = "weights",
         .key = "origin_timeout_ms",
         .type = SettingType::Integer,
         .fallback = "60000",
         .min = 1,
         .max = HourMs,
         .help = "How long the store may take for a chunk."},
        {.section = "weights",
         .key = "takeover_ms",
         .type = SettingType::Integer,
         .fallback = "2000",
         .min = 1,
         .max = HourMs,
         .help = "How long the first fetcher of a chunk may be silent."},
        {.section = "weights",
         .key = "upload_mib_per_s",
         .type = SettingType::Real,
         .fallback = "0",
         .help = "What other targets may draw from this one; 0 is without limit."},
        {.section = "weights",
         .key = "origin_mib_per_s",
         .type = SettingType::Real,
         .fallback = "0",
         .help = "What this target may draw from the store; 0 is without limit."},
        {.section = "weights",
         .key = "download_mib_per_s",
         .type = SettingType::Real,
         .fallback = "0",
         .help = "What this target may draw in all; 0 is without limit."},
        {.section = "weights",
         .key = "pair_mib_per_s",
         .type = SettingType::Real,
         .fallback = "0",
         .help = "What may flow from one region to another, each failure domain a region; 0 is without limit."},
        {.section = "weights",
         .key = "share",
         .type = SettingType::Real,
         .fallback = "0.8",
         .max = 1,
         .help = "Part of each rate that weights may use; the rest is for requests and records."},
        {.section = "weights",
         .key = "busy_share",
         .type = SettingType::Real,
         .fallback = "0.25",
         .max = 1,
         .help = "Part of the share that is left to weights while requests are slow."},
        {.section = "weights",
         .key = "upload_queue_ms",
         .type = SettingType::Integer,
         .fallback = "250",
         .min = 1,
         .max = HourMs,
         .help = "How long others may wait for the uplink; beyond it they are refused."},
        {.section = "rollout",
         .key = "floor",
         .type = SettingType::Real,
         .fallback = "0.7",
         .max = 1,
         .help = "Share of a role's VMs that keeps serving."},
        {.section = "rollout",
         .key = "patience_ms",
         .type = SettingType::Integer,
         .fallback = "30000",
         .min = 1,
         .max = HourMs,
         .help = "How long a VM may stay in one state before the rollout passes it."},
        {.section = "rollout",
         .key = "read_back_interval_ms",
         .type = SettingType::Integer,
         .fallback = "1000",
         .min = 1,
         .max = HourMs,
         .help = "Time between two checks of what the engine serves."},
        {.section = "rollout",
         .key = "retry_interval_ms",
         .type = SettingType::Integer,
         .fallback = "500",
         .min = 1,
         .max = HourMs,
         .help = "Pause after a failed activation."},
    };
}

weights::RateOptions rateOf(double mibPerSecond)
{
    return {.bytesPerSecond = mibPerSecond * MiB, .burstBytes = MiB};
}

} // namespace

std::vector<SettingSpec> settingSpecs()
{
    auto specs = node::settingSpecs();
    const auto own = ownSpecs();
    specs.insert(specs.end(), own.begin(), own.end());
    return specs;
}

TargetOptions optionsFrom(const Settings &settings)
{
    TargetOptions options{.node = node::optionsFrom(settings, membership::VmKind::Target)};
    options.rpcPort = static_cast<std::uint16_t>(settings.integer("rpc", "port"));
    options.rpcConnectionsMax = static_cast<std::size_t>(settings.integer("rpc", "connections_max"));
    options.rpcUnfinishedBytesMax = static_cast<std::uint64_t>(settings.integer("rpc", "unfinished_mib")) << 20U;
    options.backend = valueOf(BackendKindNames, settings.text("backend", "kind")).value_or(options.backend);
    options.engine.url = settings.text("backend", "url");
    options.store.url = settings.text("weights", "store_url");
    options.chunkStoreBytes = static_cast<std::uint64_t>(settings.integer("weights", "memory_mib")) << 20U;
    options.store.callTimeout = settings.millis("weights", "origin_timeout_ms");
    options.plan.policy =
        valueOf(weights::PolicyNames, settings.text("weights", "policy")).value_or(options.plan.policy);
    options.plan.maxPeerRequests = static_cast<std::uint32_t>(settings.integer("weights", "fetches"));
    options.plan.neighbours = static_cast<std::uint32_t>(settings.integer("weights", "neighbours"));
    options.plan.takeoverTimeout = settings.millis("weights", "takeover_ms");
    options.plan.chunkTimeout = settings.millis("weights", "chunk_timeout_ms");
    options.plan.storeDomain = settings.text("weights", "store_domain");
    options.download = rateOf(settings.real("weights", "download_mib_per_s"));
    options.pair = rateOf(settings.real("weights", "pair_mib_per_s"));
    options.share = settings.real("weights", "share");
    options.busyShare = settings.real("weights", "busy_share");
    options.uploadQueue = settings.millis("weights", "upload_queue_ms");
    options.upload = rateOf(settings.real("weights", "upload_mib_per_s"));
    options.origin = rateOf(settings.real("weights", "origin_mib_per_s"));
    options.rollout.minServingFraction = settings.real("rollout", "floor");
    options.concurrency = static_cast<std::uint32_t>(settings.integer("backend", "concurrency"));
    options.drainGrace = settings.millis("backend", "drain_grace_ms");
    options.queueTimeout = settings.millis("backend", "queue_timeout_ms");
    options.retryAfter = settings.millis("backend", "retry_after_ms");
    for (const auto &[workspace, weight] : settings.entries("shares")) {
        options.shares[workspace] = std::max(std::strtod(weight.c_str(), nullptr), ShareMin);
    }
    options.rollout.stallTimeout = settings.millis("rollout", "patience_ms");
    options.readBackInterval = settings.millis("rollout", "read_back_interval_ms");
    options.retryInterval = settings.millis("rollout", "retry_interval_ms");
    return options;
}

} // namespace ibislock::target
