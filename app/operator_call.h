// What the operators' commands share: their options, the call to an entry VM, and its outcome.

#pragma once

#include <httplib.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace ibislock::app
{

/// What every operator command needs.
struct Invocation
{
    std::string url;
    std::string credential;
    std::string authority; ///< PEM file that signs the entry VM's certificate; empty for the system's own.
    bool asJson = false;
    bool watch = false;
    std::string daemons; ///< Metrics addresses of daemons on the users' platform, separated by commas.
    int intervalMs = 1000;
    std::vector<std::string> arguments;
};

/// Reads the command line.
/// @param exitCode what to exit with when there is no invocation.
std::optional<Invocation> parseInvocation(int argc, char **argv, const char *name, const char *what, int &exitCode);

/// Opens a client of an entry VM's administration interface, with TLS for an https URL.
std::unique_ptr<httplib::Client> clientFor(const Invocation &invocation);

/// A document, or the exit code that tells why there is none; the reason has been printed.
struct CallResult
{
    std::optional<nlohmann::json> document;
    int exitCode = 0;
};

/// Judges the answer to a call.
/// @param changes whether the call may have changed something, so that a lost answer leaves the outcome unknown.
CallResult judge(const httplib::Result &result, bool changes);

/// Prints a document as JSON or through `print`, and gives the exit code.
template <typename Print>
int finish(const CallResult &result, bool asJson, Print &&print);

/// Prints a document as JSON.
void printJson(const nlohmann::json &document);

template <typename Print>
int finish(const CallResult &result, bool asJson, Print &&print)
{
    if (!result.document) {
        return result.exitCode;
    }
    if (asJson) {
        printJson(*result.document);
    } else {
        print(*result.document);
    }
    return result.exitCode;
}

} // namespace ibislock::app
