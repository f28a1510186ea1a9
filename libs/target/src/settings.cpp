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
         .fallback = "4",
         .min = 1,
         .max = 64,
         .help = "Chunks fetched at the same time."},
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
        {.section = "rollout",
         .key = "floor",
         .type = SettingType::Real,
         .fallback = "0.7",
         .max = 1,
         .help = "Share of a role's VMs that keeps serving."},
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
    options.backend = valueOf(BackendKindNames, settings.text("backend", "kind")).value_or(options.backend);
    options.engine.url = settings.text("backend", "url");
    options.store.url = settings.text("weights", "store_url");
    options.chunkStoreBytes = static_cast<std::uint64_t>(settings.integer("weights", "memory_mib")) << 20U;
    options.fetches = static_cast<std::uint32_t>(settings.integer("weights", "fetches"));
    options.takeover = settings.millis("weights", "takeover_ms");
    options.upload = rateOf(settings.real("weights", "upload_mib_per_s"));
    options.origin = rateOf(settings.real("weights", "origin_mib_per_s"));
    options.rollout.floor = settings.real("rollout", "floor");
    options.concurrency = static_cast<std::uint32_t>(settings.integer("backend", "concurrency"));
    options.drainGrace = settings.millis("backend", "drain_grace_ms");
    options.queueTimeout = settings.millis("backend", "queue_timeout_ms");
    options.retryAfter = settings.millis("backend", "retry_after_ms");
    for (const auto &[workspace, weight] : settings.entries("shares")) {
        options.shares[workspace] = std::max(std::strtod(weight.c_str(), nullptr), ShareMin);
    }
    options.retryInterval = settings.millis("rollout", "retry_interval_ms");
    return options;
}

} // namespace ibislock::target
