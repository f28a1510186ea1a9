#include "operator_commands.h"

#include "exit_codes.h"

#include "ibislock/base/ini.h"

#include <cxxopts.hpp>
#include <httplib.h>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

namespace ibislock::app
{

namespace
{

using nlohmann::json;

constexpr int CallTimeoutSeconds = 15;
constexpr const char *CredentialVariable = "IBISLOCK_CREDENTIAL";

/// What every operator command needs.
struct Invocation
{
    std::string url;
    std::string credential;
    bool asJson = false;
    std::vector<std::string> arguments;
};

std::optional<Invocation> parse(int argc, char **argv, const char *name, const char *what, int &exitCode)
{
    cxxopts::Options options(name, what);
    options.add_options()("entry", "administration interface of any entry VM",
                          cxxopts::value<std::string>()->default_value("http://127.0.0.1:8081"))(
        "credential-file", "file that holds the operator's credential; else the variable IBISLOCK_CREDENTIAL",
        cxxopts::value<std::string>())("json", "print JSON")(
        "arguments", "", cxxopts::value<std::vector<std::string>>())("help", "print this help");
    options.parse_positional({"arguments"});
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help() << "\n";
        exitCode = Success;
        return std::nullopt;
    }
    Invocation invocation{.url = parsed["entry"].as<std::string>(), .asJson = parsed.count("json") != 0};
    if (parsed.count("arguments") != 0) {
        invocation.arguments = parsed["arguments"].as<std::vector<std::string>>();
    }
    if (parsed.count("credential-file") != 0) {
        const auto text = readFile(parsed["credential-file"].as<std::string>());
        if (!text) {
            std::cerr << text.error().message << "\n";
            exitCode = Usage;
            return std::nullopt;
        }
        invocation.credential = trimmed(*text);
    } else if (const char *value = std::getenv(CredentialVariable)) {
        invocation.credential = value;
    }
    return invocation;
}

httplib::Client clientFor(const Invocation &invocation)
{
    httplib::Client client(invocation.url);
    client.set_bearer_token_auth(invocation.credential);
    client.set_read_timeout(CallTimeoutSeconds);
    return client;
}

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

/// Prints an error and gives its exit code, or hands the document to `print`.
template <typename Print>
int finish(const httplib::Result &result, bool changes, bool asJson, Print &&print)
{
    if (!result) {
        std::cerr << "the entry VM does not answer: " << httplib::to_string(result.error()) << "\n";
        const bool neverSent = result.error() == httplib::Error::Connection;
        return changes && !neverSent ? UnknownOutcome : Unreachable;
    }
    const json body = json::parse(result->body, nullptr, false);
    if (result->status != 200) {
        const std::string message = body.is_object() && body.contains("error") && body["error"].is_object()
            ? body["error"].value("message", "")
            : "status " + std::to_string(result->status);
        std::cerr << message << "\n";
        return exitCodeFor(result->status);
    }
    if (asJson) {
        std::cout << body.dump(2) << "\n";
    } else {
        print(body);
    }
    return Success;
}

void printAuditLine(const json &entry)
{
    std::cout << "ticket " << entry.value("number", 0) << "  offset " << entry.value("offset", 0) << "  by "
              << entry.value("filed_by", "") << "  " << (entry.value("accepted", false) ? "accepted" : "refused");
    const std::string reason = entry.value("reason", "");
    if (!reason.empty()) {
        std::cout << ": " << reason;
    }
    std::cout << "\n";
    const json inForce = entry.value("in_force_at_ms", json::object());
    for (const auto &[domain, atMs] : inForce.items()) {
        std::cout << "  in force in " << domain << " at " << atMs << " ms\n";
    }
}

void printTicket(const json &entry)
{
    printAuditLine(entry);
    for (const json &scope : entry["scopes"]) {
        std::cout << "  " << scope.value("workspace", "") << "/" << scope.value("role", "") << " -> "
                  << scope.value("model", "") << " " << scope.value("version", "") << " on " << scope.value("vms", 0)
                  << " VMs\n";
    }
}

void printStatus(const json &status)
{
    std::cout << "entry " << status.value("vm", "") << "  ticket " << status.value("last_ticket", 0) << "  offset "
              << status.value("log_offset", 0) << "  log "
              << (status.value("log_reachable", false) ? "reachable" : "not reachable") << "\n";
    for (const auto &[vm, member] : status["vms"].items()) {
        std::cout << "  " << std::left << std::setw(12) << vm << std::setw(10) << member.value("domain", "")
                  << std::setw(8) << member.value("kind", "") << std::setw(12) << member.value("phase", "") << "ticket "
                  << member.value("ticket", 0) << "  " << (member.value("usable", false) ? "usable" : "not usable")
                  << "  as of " << member.value("age_ms", 0) << " ms ago\n";
    }
}

int fileTicket(const Invocation &invocation)
{
    if (invocation.arguments.size() != 2) {
        std::cerr << "usage: ibislock ticket file FILE\n";
        return Usage;
    }
    const auto text = readFile(invocation.arguments[1]);
    if (!text) {
        std::cerr << text.error().message << "\n";
        return Usage;
    }
    auto client = clientFor(invocation);
    return finish(client.Post("/v1/tickets", *text, "application/json"), true, invocation.asJson, printTicket);
}

int checkTicket(const Invocation &invocation)
{
    if (invocation.arguments.size() != 2) {
        std::cerr << "usage: ibislock ticket check FILE\n";
        return Usage;
    }
    const auto text = readFile(invocation.arguments[1]);
    if (!text) {
        std::cerr << text.error().message << "\n";
        return Usage;
    }
    auto client = clientFor(invocation);
    bool fileable = false;
    const auto result = client.Post("/v1/tickets/check", *text, "application/json");
    if (result && result->status == 200) {
        const json body = json::parse(result->body, nullptr, false);
        fileable = body.is_object() && body.value("fileable", false);
    }
    const int code = finish(result, false, invocation.asJson, [](const json &body) {
        for (const json &refusal : body["refusals"]) {
            std::cout << refusal.value("kind", "") << ": " << refusal.value("message", "") << "\n";
        }
        std::cout << (body.value("fileable", false) ? "the ticket can be filed\n" : "the ticket would be refused\n");
    });
    return code == Success && !fileable ? Refused : code;
}

int showTicket(const Invocation &invocation)
{
    if (invocation.arguments.size() != 2) {
        std::cerr << "usage: ibislock ticket show NUMBER\n";
        return Usage;
    }
    auto client = clientFor(invocation);
    return finish(client.Get("/v1/tickets/" + invocation.arguments[1]), false, invocation.asJson, printTicket);
}

int listTickets(const Invocation &invocation)
{
    auto client = clientFor(invocation);
    return finish(client.Get("/v1/tickets"), false, invocation.asJson, [](const json &body) {
        for (const json &entry : body["tickets"]) {
            printTicket(entry);
        }
    });
}

} // namespace

int runTicket(int argc, char **argv)
{
    int exitCode = Usage;
    const auto invocation =
        parse(argc, argv, "ibislock ticket",
              "Files and shows change tickets: file FILE | check FILE | show NUMBER | list", exitCode);
    if (!invocation) {
        return exitCode;
    }
    const std::string verb = invocation->arguments.empty() ? "" : invocation->arguments[0];
    if (verb == "file") {
        return fileTicket(*invocation);
    }
    if (verb == "check") {
        return checkTicket(*invocation);
    }
    if (verb == "show") {
        return showTicket(*invocation);
    }
    if (verb == "list") {
        return listTickets(*invocation);
    }
    std::cerr << "usage: ibislock ticket file FILE | check FILE | show NUMBER | list\n";
    return Usage;
}

int runStatus(int argc, char **argv)
{
    int exitCode = Usage;
    const auto invocation = parse(argc, argv, "ibislock status", "Shows the VMs and what they serve.", exitCode);
    if (!invocation) {
        return exitCode;
    }
    auto client = clientFor(*invocation);
    return finish(client.Get("/v1/status"), false, invocation->asJson, printStatus);
}

int runAudit(int argc, char **argv)
{
    int exitCode = Usage;
    const auto invocation = parse(argc, argv, "ibislock audit", "Shows the audit trail of changes.", exitCode);
    if (!invocation) {
        return exitCode;
    }
    auto client = clientFor(*invocation);
    return finish(client.Get("/v1/audit"), false, invocation->asJson, [](const json &body) {
        for (const json &entry : body["entries"]) {
            printAuditLine(entry);
        }
    });
}

} // namespace ibislock::app
