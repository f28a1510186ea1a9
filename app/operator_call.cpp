#include "operator_call.h"

#include "exit_codes.h"

#include "ibislock/base/ini.h"

#include <cxxopts.hpp>
#include <iostream>

namespace ibislock::app
{

namespace
{

using nlohmann::json;

constexpr int CallTimeoutSeconds = 15;
constexpr const char *CredentialVariable = "IBISLOCK_CREDENTIAL";

int exitCodeFor(int status)
{
    switch (status) {
    case 200:
        return Success;
    case 401:
    case 403:
        return Denied;
    case 503:
        return Unreachable;
    case 504:
        return UnknownOutcome;
    default:
        return Refused;
    }
}

cxxopts::Options optionsFor(const char *name, const char *what)
{
    cxxopts::Options options(name, what);
    options.add_options()("entry", "administration interface of any entry VM",
                          cxxopts::value<std::string>()->default_value("http://127.0.0.1:8081"))(
        "credential-file", "file that holds the operator's credential; else the variable IBISLOCK_CREDENTIAL",
        cxxopts::value<std::string>())(
        "authority", "PEM file that signs the entry VM's certificate; else the system's own authorities",
        cxxopts::value<std::string>()->default_value(""))("json", "print JSON")(
        "daemons", "ask daemons on the users' platform: their metrics addresses, separated by commas (status only)",
        cxxopts::value<std::string>()->default_value(""))("watch", "redraw until interrupted (status only)")(
        "interval-ms", "pause between two redraws", cxxopts::value<int>()->default_value("1000"))(
        "arguments", "", cxxopts::value<std::vector<std::string>>())("help", "print this help");
    options.parse_positional({"arguments"});
    return options;
}

/// Reads the credential from its file or the environment; nothing when the file can't be read.
std::optional<std::string> credentialFrom(const cxxopts::ParseResult &parsed)
{
    if (parsed.count("credential-file") == 0) {
        const char *value = std::getenv(CredentialVariable);
        return value == nullptr ? "" : value;
    }
    const auto text = readFile(parsed["credential-file"].as<std::string>());
    if (!text) {
        std::cerr << text.error().message << "\n";
        return std::nullopt;
    }
    return trimmed(*text);
}

} // namespace

std::optional<Invocation> parseInvocation(int argc, char **argv, const char *name, const char *what, int &exitCode)
{
    auto options = optionsFor(name, what);
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help() << "\n";
        exitCode = Success;
        return std::nullopt;
    }
    auto credential = credentialFrom(parsed);
    if (!credential) {
        exitCode = Usage;
        return std::nullopt;
    }
    Invocation invocation{.url = parsed["entry"].as<std::string>(),
                          .credential = std::move(*credential),
                          .authority = parsed["authority"].as<std::string>(),
                          .asJson = parsed.count("json") != 0,
                          .watch = parsed.count("watch") != 0,
                          .daemons = parsed["daemons"].as<std::string>(),
                          .intervalMs = parsed["interval-ms"].as<int>()};
    if (parsed.count("arguments") != 0) {
        invocation.arguments = parsed["arguments"].as<std::vector<std::string>>();
    }
    return invocation;
}

std::unique_ptr<httplib::Client> clientFor(const Invocation &invocation)
{
    auto client = std::make_unique<httplib::Client>(invocation.url);
    client->set_bearer_token_auth(invocation.credential);
    client->set_read_timeout(CallTimeoutSeconds);
    client->enable_server_certificate_verification(true);
    if (!invocation.authority.empty()) {
        client->set_ca_cert_path(invocation.authority);
    }
    return client;
}

CallResult judge(const httplib::Result &result, bool changes)
{
    if (!result) {
        std::cerr << "the entry VM does not answer: " << httplib::to_string(result.error()) << "\n";
        const bool neverSent = result.error() == httplib::Error::Connection
            || result.error() == httplib::Error::SSLServerVerification
            || result.error() == httplib::Error::SSLLoadingCerts;
        return {.exitCode = changes && !neverSent ? UnknownOutcome : Unreachable};
    }
    json body = json::parse(result->body, nullptr, false);
    if (result->status != 200) {
        const bool isTyped = body.is_object() && body.contains("error") && body["error"].is_object();
        std::cerr << (isTyped ? body["error"].value("message", "") : "status " + std::to_string(result->status))
                  << "\n";
        return {.exitCode = exitCodeFor(result->status)};
    }
    if (!body.is_object()) {
        std::cerr << "the answer is not a JSON document\n";
        return {.exitCode = Unreachable};
    }
    return {.document = std::move(body), .exitCode = Success};
}

void printJson(const nlohmann::json &document)
{
    std::cout << document.dump(2) << "\n";
}

} // namespace ibislock::app
