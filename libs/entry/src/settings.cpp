#include "ibislock/entry/settings.h"

#include "ibislock/node/settings.h"

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
         .fallback = "256",
         .min = 1,
         .max = 4096,
         .help = "Connections served at the same time."},
        {.section = "callers",
         .key = "body_bytes_max",
         .type = SettingType::Integer,
         .fallback = "1048576",
         .min = 1,
         .max = 1073741824,
         .help = "Largest body accepted."},
        {.section = "callers",
         .key = "request_timeout_ms",
         .type = SettingType::Integer,
         .fallback = "30000",
         .min = 1,
         .max = HourMs,
         .help = "Time allowed for one request."},
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
        {.section = "workspaces",
         .fallback = "",
         .help = "One line for each workspace: name = credential.",
         .anyKey = true},
        {.section = "operators",
         .fallback = "",
         .help = "One line for each operator: name = credential.",
         .anyKey = true},
        {.section = "routes",
         .fallback = "",
         .help = "One line for each plain service: role = path prefix.",
         .anyKey = true},
    };
}

/// Turns `name = credential` lines into a map from credential to name.
std::map<std::string, std::string> inverted(const std::map<std::string, std::string> &entries)
{
    std::map<std::string, std::string> result;
    for (const auto &[name, value] : entries) {
        result[value] = name;
    }
    return result;
}

} // namespace

std::vector<SettingSpec> settingSpecs()
{
    auto specs = node::settingSpecs();
    const auto own = ownSpecs();
    specs.insert(specs.end(), own.begin(), own.end());
    return specs;
}

EntryOptions optionsFrom(const Settings &settings)
{
    EntryOptions options{.node = node::optionsFrom(settings, membership::VmKind::Entry)};
    options.rpcPort = static_cast<std::uint16_t>(settings.integer("rpc", "port"));
    options.callers = {.address = settings.text("callers", "address"),
                       .port = static_cast<std::uint16_t>(settings.integer("callers", "port")),
                       .threads = static_cast<std::uint32_t>(settings.integer("callers", "threads")),
                       .bodyBytesMax = static_cast<std::uint64_t>(settings.integer("callers", "body_bytes_max"))};
    options.administration.address = settings.text("administration", "address");
    options.administration.port = static_cast<std::uint16_t>(settings.integer("administration", "port"));
    options.workspaces = inverted(settings.entries("workspaces"));
    options.operators = inverted(settings.entries("operators"));
    options.routes = inverted(settings.entries("routes"));
    options.policy = valueOf(requests::RoutingPolicyNames, settings.text("routing", "policy")).value_or(options.policy);
    options.attempts = static_cast<std::uint32_t>(settings.integer("routing", "attempts"));
    options.requestTimeout = settings.millis("callers", "request_timeout_ms");
    options.retryAfter = settings.millis("routing", "retry_after_ms");
    options.resumeStreams = settings.boolean("routing", "resume_streams");
    options.drainGrace = settings.millis("callers", "drain_grace_ms");
    options.fileTimeout = settings.millis("administration", "file_timeout_ms");
    return options;
}

} // namespace ibislock::entry
