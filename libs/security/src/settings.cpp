#include "ibislock/security/settings.h"

namespace ibislock::security
{

namespace
{

constexpr double HourMs = 3600000;

CredentialSections sectionsOf(const Settings &settings)
{
    return {.workspaces = settings.entries("workspaces"),
            .operators = settings.entries("operators"),
            .roles = settings.entries("operator_roles")};
}

/// Gives the first value that is not empty.
std::string either(const std::string &value, const std::string &fallback)
{
    return value.empty() ? fallback : value;
}

} // namespace

std::vector<SettingSpec> tlsSettingSpecs()
{
    return {
        {.section = "tls",
         .key = "mode",
         .type = SettingType::Choice,
         .fallback = "tls",
         .choices = "plaintext,tls",
         .help = "Whether connections are protected; plaintext warns at each start."},
        {.section = "tls",
         .key = "certificate",
         .fallback = "",
         .help = "PEM file of this process's certificate, for other processes; required with mode tls."},
        {.section = "tls",
         .key = "private_key",
         .fallback = "",
         .help = "PEM file of the certificate's private key; required with mode tls."},
        {.section = "tls",
         .key = "authority",
         .fallback = "",
         .help = "PEM file of the authority that signs the certificates of all processes; required with mode tls."},
        {.section = "tls",
         .key = "peer_name",
         .fallback = "ibislock",
         .help = "DNS name that the certificate of every process of the deployment carries."},
        {.section = "tls",
         .key = "http_certificate",
         .fallback = "",
         .help = "PEM file of the certificate for callers and operators; empty for the certificate above."},
        {.section = "tls",
         .key = "http_private_key",
         .fallback = "",
         .help = "PEM file of the private key for callers and operators; empty for the private key above."},
        {.section = "tls",
         .key = "reload_interval_ms",
         .type = SettingType::Integer,
         .fallback = "2000",
         .min = 10,
         .max = HourMs,
         .help = "Longest pause between two looks at the files."},
    };
}

std::vector<SettingSpec> credentialSettingSpecs()
{
    return {
        {.section = "workspaces",
         .fallback = "",
         .help = "One line for each workspace: name = one or two keys. A key is text or sha256:DIGITS.",
         .anyKey = true},
        {.section = "operators",
         .fallback = "",
         .help = "One line for each operator: name = one or two keys. A key is text or sha256:DIGITS.",
         .anyKey = true},
        {.section = "operator_roles",
         .fallback = "",
         .help = "One line for each operator: name = view or file. An operator without a line may view.",
         .anyKey = true},
        {.section = "credentials",
         .key = "file",
         .fallback = "",
         .help = "INI file with the three sections above, which it replaces; read again when it changes."},
        {.section = "credentials",
         .key = "reload_interval_ms",
         .type = SettingType::Integer,
         .fallback = "2000",
         .min = 10,
         .max = HourMs,
         .help = "Longest pause between two looks at the file."},
    };
}

TlsOptions tlsOptionsFrom(const Settings &settings)
{
    TlsOptions options;
    options.mode = valueOf(TlsModeNames, settings.text("tls", "mode")).value_or(TlsMode::Tls);
    options.peers = {.certificate = settings.text("tls", "certificate"),
                     .privateKey = settings.text("tls", "private_key"),
                     .authority = settings.text("tls", "authority")};
    options.http = {.certificate = either(settings.text("tls", "http_certificate"), options.peers.certificate),
                    .privateKey = either(settings.text("tls", "http_private_key"), options.peers.privateKey)};
    options.peerName = settings.text("tls", "peer_name");
    options.reloadInterval = settings.millis("tls", "reload_interval_ms");
    return options;
}

CredentialOptions credentialOptionsFrom(const Settings &settings)
{
    std::vector<CredentialError> errors;
    return {.keys = credentialsFrom(sectionsOf(settings), errors),
            .file = settings.text("credentials", "file"),
            .reloadInterval = settings.millis("credentials", "reload_interval_ms")};
}

std::vector<SettingError> checkTls(const std::string &file, const TlsOptions &options, bool servesHttp, Millis now)
{
    std::vector<SettingError> errors;
    if (options.mode == TlsMode::Plaintext) {
        return errors;
    }
    if (options.peers.authority.empty()) {
        errors.push_back({file, "tls", "authority", "a file, since the mode is tls"});
    }
    if (const auto peers = loadTls(options.peers, options.peerName, now); !peers) {
        errors.push_back({file, "tls", "certificate", "a usable certificate: " + peers.error().message});
    }
    if (!servesHttp) {
        return errors;
    }
    if (const auto http = loadTls(options.http, {}, now); !http) {
        errors.push_back({file, "tls", "http_certificate", "a usable certificate: " + http.error().message});
    }
    return errors;
}

std::vector<SettingError> checkCredentials(const std::string &file, const Settings &settings)
{
    std::vector<CredentialError> mistakes;
    credentialsFrom(sectionsOf(settings), mistakes);
    std::vector<SettingError> errors;
    for (const CredentialError &mistake : mistakes) {
        errors.push_back({file, mistake.section, mistake.key, mistake.expected});
    }
    const std::string other = settings.text("credentials", "file");
    if (other.empty()) {
        return errors;
    }
    if (const auto loaded = loadCredentials(other); !loaded) {
        for (const CredentialError &mistake : loaded.error()) {
            errors.push_back({other, mistake.section, mistake.key, mistake.expected});
        }
    }
    return errors;
}

} // namespace ibislock::security
