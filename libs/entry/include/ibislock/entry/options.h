// Options of an entry daemon.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/node/node.h"
#include "ibislock/requests/routing.h"
#include "ibislock/security/credential_store.h"

#include <map>
#include <string>

namespace ibislock::entry
{

/// Where an HTTP interface listens.
struct HttpOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< Zero lets the system choose.
    std::uint32_t threads = 1024; ///< Connections served at the same time; as many more wait for a thread.
    std::uint64_t bodyBytesMax = 1 << 20;
    std::uint64_t headerBytesMax = 32 << 10;
    std::uint32_t connectionsPerPeer = 512; ///< Of one IP number; zero is without limit.
    Millis headerTimeout{5000}; ///< For the handshake, and for the whole header of a request.
    Millis bodyTimeout{15000}; ///< For the whole body of a request.
    Millis writeTimeout{10000}; ///< For the peer to take a piece of an answer.
    Millis keepAlive{5000}; ///< How long an idle connection is kept.
    double descriptorShare = 0.4; ///< Of what the system allows the process, for served and waiting connections.
};

/// Everything that an entry daemon needs to know.
struct EntryOptions
{
    node::NodeOptions node;
    std::uint16_t rpcPort = 0;
    std::size_t rpcConnectionsMax = 4096;
    std::uint64_t rpcUnfinishedBytesMax = 512ULL << 20;
    HttpOptions callers;
    HttpOptions administration{.threads = 64, .connectionsPerPeer = 32, .descriptorShare = 0.1};
    std::uint64_t bodyMemoryBytes = 2048ULL << 20; ///< For the bodies of all requests and copies of them.
    security::CredentialOptions credentials;
    std::map<std::string, std::string> routes; ///< Path prefix to role, for plain services.
    requests::RoutingPolicy policy = requests::RoutingPolicy::Prefix;
    Millis requestTimeout{30000};
    stores::EndpointOptions store; ///< The weight store that tickets are checked against; without a URL none.
    Millis fileTimeout{5000}; ///< How long filing a ticket waits for the log.
    std::uint32_t attempts = 4; ///< Targets tried for one request.
    Millis retryAfter{1000}; ///< When a refused caller is told to come back.
    Millis drainGrace{30000}; ///< How long requests in progress may hold up a stop.
    bool resumeStreams = true; ///< Whether broken streams are resumed; the engines must be able to.
    Clock bootClock = bootMillis; ///< Counts the time for which the VM was suspended.
};

} // namespace ibislock::entry
