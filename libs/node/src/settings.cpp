#include "ibislock/node/settings.h"

#include "ibislock/security/settings.h"

namespace ibislock::node
{

namespace
{

constexpr double PortMax = 65535;
constexpr double HourMs = 3600000;

std::vector<SettingSpec> ownSpecs()
{
    return {
        {.section = "process",
         .key = "kind",
         .type = SettingType::Choice,
         .choices = "entry,target",
         .help = "Which daemon the file is for."},
        {.section = "vm", .key = "name", .help = "Name of the VM, as in the platform's list and in tickets."},
        {.section = "vm", .key = "failure_domain", .help = "Failure domain of the VM."},
        {.section = "vm",
         .key = "address",
         .fallback = "127.0.0.1",
         .help = "IP number under which other VMs reach this one."},
        {.section = "rpc",
         .key = "port",
         .type = SettingType::Integer,
         .fallback = "0",
         .max = PortMax,
         .help = "Port for other processes; 0 lets the system choose."},
        {.section = "rpc",
         .key = "connections_max",
         .type = SettingType::Integer,
         .fallback = "4096",
         .min = 8,
         .max = 65536,
         .help = "Connections of other processes; beyond it unused ones are closed, and new ones wait."},
        {.section = "rpc",
         .key = "unfinished_mib",
         .type = SettingType::Integer,
         .fallback = "512",
         .min = 1,
         .max = 1048576,
         .help = "Memory for messages of other processes that haven't come whole; beyond it stalled ones are closed."},
        {.section = "platform", .key = "log_url", .help = "The platform's append-only log."},
        {.section = "platform", .key = "vm_list_url", .help = "The platform's list of VMs."},
        {.section = "platform",
         .key = "log_wait_ms",
         .type = SettingType::Integer,
         .fallback = "1000",
         .min = 0,
         .max = 60000,
         .help = "How long one read of the log waits for news."},
        {.section = "platform",
         .key = "list_interval_ms",
         .type = SettingType::Integer,
         .fallback = "1000",
         .min = 10,
         .max = HourMs,
         .help = "Longest pause between two reads of the list."},
        {.section = "membership",
         .key = "gossip_interval_ms",
         .type = SettingType::Integer,
         .fallback = "1000",
         .min = 10,
         .max = 60000,
         .help = "Longest pause between two signs of life to one delegate."},
        {.section = "membership",
         .key = "delegates",
         .type = SettingType::Integer,
         .fallback = "2",
         .min = 2,
         .max = 16,
         .help = "Entry VMs that judge each VM."},
        {.section = "membership",
         .key = "suspect_after_ms",
         .type = SettingType::Integer,
         .fallback = "2500",
         .min = 100,
         .max = HourMs,
         .help = "How long a delegate waits for a sign of life before it asks the VM."},
        {.section = "membership",
         .key = "report_lifetime_ms",
         .type = SettingType::Integer,
         .fallback = "3000",
         .min = 100,
         .max = HourMs,
         .help = "How long the word on a VM of the own domain counts."},
        {.section = "membership",
         .key = "remote_lifetime_ms",
         .type = SettingType::Integer,
         .fallback = "10000",
         .min = 100,
         .max = HourMs,
         .help = "How long the word on a VM of another domain counts."},
        {.section = "configuration",
         .key = "snapshot_interval_s",
         .type = SettingType::Integer,
         .fallback = "600",
         .min = 1,
         .max = 86400,
         .help = "Longest time between snapshots in the log; well below the log's retention."},
        {.section = "configuration",
         .key = "snapshot_records",
         .type = SettingType::Integer,
         .fallback = "1024",
         .min = 16,
         .max = 1000000,
         .help = "Records that may follow a snapshot before the next one."},
        {.section = "log",
         .key = "level",
         .type = SettingType::Choice,
         .fallback = "info",
         .choices = "debug,info,warning,error,off",
         .help = "Lowest severity that is written."},
    };
}

} // namespace

std::vector<SettingSpec> settingSpecs()
{
    auto specs = ownSpecs();
    const auto tls = security::tlsSettingSpecs();
    specs.insert(specs.end(), tls.begin(), tls.end());
    return specs;
}

NodeOptions optionsFrom(const Settings &settings, membership::VmKind kind)
{
    return {
        .vm = settings.text("vm", "name"),
        .domain = settings.text("vm", "failure_domain"),
        .kind = kind,
        .address = settings.text("vm", "address"),
        .tls = security::tlsOptionsFrom(settings),
        .log = {.url = settings.text("platform", "log_url")},
        .vmList = {.url = settings.text("platform", "vm_list_url")},
        .logWait = settings.millis("platform", "log_wait_ms"),
        .listInterval = settings.millis("platform", "list_interval_ms"),
        .gossipInterval = settings.millis("membership", "gossip_interval_ms"),
        .delegates = static_cast<std::uint32_t>(settings.integer("membership", "delegates")),
        .suspectAfter = settings.millis("membership", "suspect_after_ms"),
        .view = {.reportLifetime = settings.millis("membership", "report_lifetime_ms"),
                 .remoteLifetime = settings.millis("membership", "remote_lifetime_ms")},
        .snapshots = {.recordsMax = static_cast<std::uint64_t>(settings.integer("configuration", "snapshot_records")),
                      .interval = std::chrono::seconds(settings.integer("configuration", "snapshot_interval_s"))}};
}

std::string logLevelFrom(const Settings &settings)
{
    return settings.text("log", "level");
}

} // namespace ibislock::node
