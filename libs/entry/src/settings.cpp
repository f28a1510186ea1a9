#include "ibislock/entry/settings.h"

#include "ibislock/node/settings.h"
#include "ibislock/security/settings.h"

namespace ibislock::entry
{

namespace
{

constexpr double PortMax = 65535;
constexpr double HourMs = 3600000;

std::vector<SettingSpec> ownSpecs()
{
    return {
        {.section = "callers",
         .key = "address",
         .fallback = "127.0.0.1",
         .help = "IP number of the callers' interface."},
        {.section = "callers",
         .key = "port",
         .type = SettingType::Integer,
         .fallback = "0",
         .max = PortMax,
         .help = "Port of the callers' interface; 0 lets the system choose."},
        {.section = "callers",
         .key = "threads",
         .type = SettingType::Integer,
         .fallback = "1024",
         .min = 1,
         .max = 4096,
         .help = "Connections served at the same time; as many more wait, and the rest in the system's queue."},
        {.section = "callers",
         .key = "connections_per_peer",
         .type = SettingType::Integer,
         .fallback = "512",
         .max = 4096,
         .help = "Connections of one IP number; 0 is without limit, for a balancer that hides its callers' numbers."},
        {.section = "callers",
         .key = "header_bytes_max",
         .type = SettingType::Integer,
         .fallback = "32768",
         .min = 512,
         .max = 1048576,
         .help = "Largest header accepted."},
        {.section = "callers",
         .key = "header_timeout_ms",
         .type = SettingType::Integer,
         .fallback = "5000",
         .min = 1,
         .max = HourMs,
         .help = "Time allowed for a TLS handshake, and for the whole header of a request."},
        {.section = "callers",
         .key = "body_timeout_ms",
         .type = SettingType::Integer,
         .fallback = "15000",
         .min = 1,
         .max = HourMs,
         .help = "Time allowed for the whole body of a request."},
        {.section = "callers",
         .key = "keep_alive_ms",
         .type = SettingType::Integer,
         .fallback = "5000",
         .max = HourMs,
         .help = "How long an idle connection is kept."},
        {.section = "callers",
         .key = "body_bytes_max",
         .type = SettingType::Integer,
         .fallback = "1048576",
         .min = 1,
         .max = 1073741824,
         .help = "Largest body accepted."},
        {.section = "callers",
         .key = "body_memory_mib",
         .type = SettingType::Integer,
         .fallback = "2048",
         .min = 1,
         .max = 1048576,
         .help = "Memory for the bodies of all requests at both interfaces; four times their bytes are counted."},
        {.section = "callers",
         .key = "request_timeout_ms",
         .type = SettingType::Integer,
         .fallback = "30000",
         .min = 1,
         .max = HourMs,
         .help = "Time allowed for one request."},
        {.section = "weights",
         .key = "store_url",
         .fallback = "",
         .help = "The weight store that tickets are checked against; empty for no check of versions."},
        {.section = "administration",
         .key = "address",
         .fallback = "127.0.0.1",
         .help = "IP number of the administration interface."},
        {.section = "administration",
         .key = "port",
         .type = SettingType::Integer,
         .fallback = "0",
         .max = PortMax,
         .help = "Port of the administration interface; 0 lets the system choose."},
        {.section = "administration",
         .key = "threads",
         .type = SettingType::Integer,
         .fallback = "64",
         .min = 1,
         .max = 4096,
         .help = "Connections served at the same time; as many more wait, and the rest in the system's queue."},
        {.section = "administration",
         .key = "connections_per_peer",
         .type = SettingType::Integer,
         .fallback = "32",
         .max = 4096,
         .help = "Connections of one IP number; 0 is without limit."},
        {.section = "administration",
         .key = "file_timeout_ms",
         .type = SettingType::Integer,
         .fallback = "5000",
         .min = 1,
         .max = HourMs,
         .help = "Time allowed for a ticket to appear in the log."},
        {.section = "routing",
         .key = "policy",
         .type = SettingType::Choice,
         .fallback = "prefix",
         .choices = "random,round-robin,least-loaded,two-choices,prefix",
         .help = "How a target is chosen."},
        {.section = "routing",
         .key = "retry_after_ms",
         .type = SettingType::Integer,
         .fallback = "1000",
         .min = 1,
         .max = HourMs,
         .help = "When a refused caller is told to come back."},
        {.section = "routing",
         .key = "resume_streams",
         .type = SettingType::Boolean,
         .fallback = "true",
         .help = "Whether broken streams are resumed; the engines must be able to."},
        {.section = "callers",
         .key = "drain_grace_ms",
         .type = SettingType::Integer,
         .fallback = "30000",
         .min = 0,
         .max = HourMs,
         .help = "How long requests in progress may hold up a stop."},
        {.section = "routing",
         .key = "attempts",
         .type = SettingType::Integer,
         .fallback = "4",
         .min = 1,
         .max = 16,
         .help = "Targets tried for one request."},
        {.section = "routes",
         .fallback = "",
         .help = "One line for each plain service: role = path prefix.",
         .anyKey = true},
    };
}

/// Turns `role = path prefix` lines into a map from path prefix to role.
std::map<std::string, std::string> inverted(const std::map<std::string, std::string> &entries)
{
    std::map<std::string, std::string> result;
    for (const auto &[name, value] : entries) {
        result[value] = name;
    }
    return result;
}

HttpOptions callersFrom(const Settings &settings)
{
    HttpOptions options;
    options.address = settings.text("callers", "address");
    options.port = static_cast<std::uint16_t>(settings.integer("callers", "port"));
    options.threads = static_cast<std::uint32_t>(settings.integer("callers", "threads"));
    options.bodyBytesMax = static_cast<std::uint64_t>(settings.integer("callers", "body_bytes_max"));
    options.headerBytesMax = static_cast<std::uint64_t>(settings.integer("callers", "header_bytes_max"));
    options.connectionsPerPeer = static_cast<std::uint32_t>(settings.integer("callers", "connections_per_peer"));
    options.headerTimeout = settings.millis("callers", "header_timeout_ms");
    options.bodyTimeout = settings.millis("callers", "body_timeout_ms");
    options.keepAlive = settings.millis("callers", "keep_alive_ms");
    return options;
}

} // namespace

std::vector<SettingSpec> settingSpecs()
{
    auto specs = node::settingSpecs();
    for (const auto &more : {ownSpecs(), security::credentialSettingSpecs()}) {
        specs.insert(specs.end(), more.begin(), more.end());
    }
    return specs;
}

EntryOptions optionsFrom(const Settings &settings)
{
    EntryOptions options{.node = node::optionsFrom(settings, membership::VmKind::Entry)};
    options.rpcPort = static_cast<std::uint16_t>(settings.integer("rpc", "port"));
    options.rpcConnectionsMax = static_cast<std::size_t>(settings.integer("rpc", "connections_max"));
    options.rpcUnfinishedBytesMax = static_cast<std::uint64_t>(settings.integer("rpc", "unfinished_mib")) << 20U;
    options.callers = callersFrom(settings);
    options.administration.address = settings.text("administration", "address");
    options.administration.port = static_cast<std::uint16_t>(settings.integer("administration", "port"));
    options.administration.threads = static_cast<std::uint32_t>(settings.integer("administration", "threads"));
    options.administration.connectionsPerPeer =
        static_cast<std::uint32_t>(settings.integer("administration", "connections_per_peer"));
    options.credentials = security::credentialOptionsFrom(settings);
    options.routes = inverted(settings.entries("routes"));
    options.policy = valueOf(requests::RoutingPolicyNames, settings.text("routing", "policy")).value_or(options.policy);
    options.attempts = static_cast<std::uint32_t>(settings.integer("routing", "attempts"));
    options.bodyMemoryBytes = static_cast<std::uint64_t>(settings.integer("callers", "body_memory_mib")) << 20U;
    options.requestTimeout = settings.millis("callers", "request_timeout_ms");
    options.retryAfter = settings.millis("routing", "retry_after_ms");
    options.resumeStreams = settings.boolean("routing", "resume_streams");
    options.drainGrace = settings.millis("callers", "drain_grace_ms");
    options.store.url = settings.text("weights", "store_url");
    options.fileTimeout = settings.millis("administration", "file_timeout_ms");
    return options;
}

} // namespace ibislock::entry
