#include "exit_codes.h"
#include "operator_call.h"
#include "operator_commands.h"
#include "ticket_view.h"

#include "ibislock/base/ini.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <iostream>

namespace ibislock::app
{

namespace
{

using nlohmann::json;

constexpr const char *TicketUsage =
    "usage: ibislock ticket file FILE | check FILE | show NUMBER | list | drain VM | undrain VM WORKSPACE/ROLE\n";

int usage()
{
    std::cerr << TicketUsage;
    return Usage;
}

int file(const Invocation &invocation, const std::string &text)
{
    const auto client = clientFor(invocation);
    return finish(judge(client->Post("/v1/tickets", text, "application/json"), true), invocation.asJson, printTicket);
}

int fileTicket(const Invocation &invocation)
{
    const auto text = readFile(invocation.arguments[1]);
    if (!text) {
        std::cerr << text.error().message << "\n";
        return Usage;
    }
    return file(invocation, *text);
}

int checkTicket(const Invocation &invocation)
{
    const auto text = readFile(invocation.arguments[1]);
    if (!text) {
        std::cerr << text.error().message << "\n";
        return Usage;
    }
    const auto client = clientFor(invocation);
    const CallResult result = judge(client->Post("/v1/tickets/check", *text, "application/json"), false);
    const bool fileable = result.document && result.document->value("fileable", false);
    const int code = finish(result, invocation.asJson, [fileable](const json &body) {
        for (const json &refusal : body.value("refusals", json::array())) {
            std::cout << refusal.value("kind", "") << ": " << refusal.value("message", "") << "\n";
        }
        std::cout << (fileable ? "the ticket can be filed\n" : "the ticket would be refused\n");
    });
    return code == Success && !fileable ? Refused : code;
}

int showTicket(const Invocation &invocation)
{
    const std::string &number = invocation.arguments[1];
    if (!std::all_of(number.begin(), number.end(), [](unsigned char c) { return std::isdigit(c) != 0; })) {
        return usage();
    }
    const auto client = clientFor(invocation);
    return finish(judge(client->Get("/v1/tickets/" + number), false), invocation.asJson, printTicket);
}

int listTickets(const Invocation &invocation)
{
    const auto client = clientFor(invocation);
    const std::string newest = "/v1/tickets?before=18446744073709551615";
    return finish(judge(client->Get(newest), false), invocation.asJson, [](const json &body) {
        for (const json &entry : body.value("tickets", json::array())) {
            printTicket(entry);
        }
    });
}

/// Copies a scope's whole state from the status, with other VMs.
json scopeWith(const json &scope, json vms)
{
    json copy{{"workspace", scope["workspace"]}, {"role", scope["role"]},         {"model", scope["model"]},
              {"version", scope["version"]},     {"adapters", scope["adapters"]}, {"vms", std::move(vms)}};
    if (!scope["manifest"].get<std::string>().empty()) {
        copy["manifest"] = scope["manifest"];
    }
    return copy;
}

/// Files the next ticket with the scopes that `change` gives; it leaves out the others.
template <typename Change>
int fileChange(const Invocation &invocation, Change &&change)
{
    const auto client = clientFor(invocation);
    const CallResult status = judge(client->Get("/v1/status"), false);
    if (!status.document) {
        return status.exitCode;
    }
    json scopes = json::array();
    for (const json &scope : (*status.document)["scopes"]) {
        std::optional<json> changed = change(scope);
        if (changed) {
            scopes.push_back(std::move(*changed));
        }
    }
    if (scopes.empty()) {
        std::cerr << "no scope would change\n";
        return Refused;
    }
    const auto number = (*status.document)["last_ticket"].get<std::uint64_t>() + 1;
    return file(invocation, json{{"number", number}, {"scopes", std::move(scopes)}}.dump());
}

int drain(const Invocation &invocation)
{
    const std::string &vm = invocation.arguments[1];
    return fileChange(invocation, [&](const json &scope) -> std::optional<json> {
        json vms = scope["vms"];
        const auto it = std::find(vms.begin(), vms.end(), vm);
        if (it == vms.end()) {
            return std::nullopt;
        }
        vms.erase(it);
        return scopeWith(scope, std::move(vms));
    });
}

int undrain(const Invocation &invocation)
{
    const std::string &vm = invocation.arguments[1];
    return fileChange(invocation, [&](const json &scope) -> std::optional<json> {
        const std::string name = scope["workspace"].get<std::string>() + "/" + scope["role"].get<std::string>();
        json vms = scope["vms"];
        if (name != invocation.arguments[2] || std::find(vms.begin(), vms.end(), vm) != vms.end()) {
            return std::nullopt;
        }
        vms.push_back(vm);
        return scopeWith(scope, std::move(vms));
    });
}

/// One verb of `ibislock ticket`.
struct Verb
{
    std::string_view name;
    std::size_t arguments; ///< With the verb itself.
    int (*run)(const Invocation &);
};

constexpr std::array Verbs{
    Verb{"file", 2, fileTicket},  Verb{"check", 2, checkTicket}, Verb{"show", 2, showTicket},
    Verb{"list", 1, listTickets}, Verb{"drain", 2, drain},       Verb{"undrain", 3, undrain},
};

} // namespace

int runTicket(int argc, char **argv)
{
    int exitCode = Usage;
    const auto invocation =
        parseInvocation(argc, argv, "ibislock ticket",
                        "Files and shows change tickets: file FILE | check FILE | show NUMBER | list | "
                        "drain VM | undrain VM WORKSPACE/ROLE",
                        exitCode);
    if (!invocation) {
        return exitCode;
    }
    for (const Verb &verb : Verbs) {
        if (invocation->arguments.size() == verb.arguments && invocation->arguments[0] == verb.name) {
            return verb.run(*invocation);
        }
    }
    return usage();
}

} // namespace ibislock::app
