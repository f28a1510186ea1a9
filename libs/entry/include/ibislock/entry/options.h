// Options of an entry daemon.

#pragma once

#include "ibislock/node/node.h"
#include "ibislock/requests/routing.h"

#include <map>
#include <string>

namespace ibislock::entry
{

/// Where an HTTP interface listens.
struct HttpOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< Zero lets the system choose.
    std::uint32_t threads = 256; ///< Connections served at the same time.
    std::uint64_t bodyBytesMax = 1 << 20;
};

/// Everything that an entry daemon needs to know.
struct EntryOptions
{
    node::NodeOptions node;
    std::uint16_t rpcPort = 0;
    HttpOptions callers;
    HttpOptions administration{.threads = 8};
    std::map<std::string, std::string> workspaces; ///< Credential to workspace.
    std::map<std::string, std::string> operators; ///< Credential to operator.
    std::map<std::string, std::string> routes; ///< Path prefix to role, for plain services.
    requests::RoutingPolicy policy = requests::RoutingPolicy::Prefix;
    Millis requestTimeout{30000};
    Millis fileTimeout{5000}; ///< How long filing a ticket waits for the log.
    std::uint32_t attempts = 4; ///< Targets tried for one request.
    Millis retryAfter{1000}; ///< When a refused caller is told to come back.
    Millis drainGrace{30000}; ///< How long requests in progress may hold up a stop.
    bool resumeStreams = true; ///< Whether broken streams are resumed; the engines must be able to.
};

} // namespace ibislock::entry
