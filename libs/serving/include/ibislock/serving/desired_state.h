// The desired state as the operators publish it: routes, services, workspaces and limits, under one version.
//
//     const Route *route = findRoute(state, "host.example", "/prefix/item");
//     const Workspace *workspace = findWorkspace(state, key);

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/names.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ibislock::serving
{

/// Whether a request may be executed more than once.
enum class RequestKind {
    Idempotent, ///< May be executed any number of times.
    NonIdempotent, ///< May be executed at most once.
    Stream, ///< The response is a stream of events; may be executed again only if the route allows it to be resumed.
};

/// External names of the kinds of requests.
inline constexpr NameTable<RequestKind, 3> RequestKindNames{{
    {RequestKind::Idempotent, "idempotent"},
    {RequestKind::NonIdempotent, "non_idempotent"},
    {RequestKind::Stream, "stream"},
}};

/// A service and its weight in the traffic split of a route.
struct WeightedService
{
    std::string service;
    double weight = 1;
};

/// Which requests are routed to which services, and how.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    RequestKind kind = RequestKind::Idempotent;
    Millis timeout{0}; ///< Maximum time for which a request is kept.
    Millis latencyObjective{0}; ///< Objective for the response time.
    int priority = 0; ///< 0 is served first.
    std::vector<WeightedService> services;
    int maxTargets = 1; ///< Maximum number of targets to which one request may be sent.
    bool anonymous = false; ///< Requests need no API key.
    bool resumable = false; ///< A stream may be resumed at another target.
    std::vector<std::string> allowedRegions; ///< Regions in which requests may be served; empty for all.
};

/// The figures of a batching engine that decisions use.
struct EngineSpec
{
    int slots = 0; ///< Requests that are generated concurrently.
    double stepMs = 0; ///< Time of one decoding step, which yields one token for each running request.
    double promptTokensPerMs = 0;
    int typicalPromptTokens = 0;
    int stepsPerPass = 1;
    int chunks = 0; ///< Number of pieces of one version of the weights.
    std::uint64_t chunkBytes = 0;
    Millis warmUp{0}; ///< Time to load a complete version.
    std::vector<std::string> models;
};

/// A group of interchangeable targets.
struct Service
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; ///< Connections that one target accepts from all callers together.
    std::optional<EngineSpec> engine;
    std::string originAddress; ///< Address from which weights are fetched; empty unless this is the origin.
    double originMbps = 0; ///< Bandwidth of the origin's link in Mbit/s; 0 if unknown.
    std::string originDomain; ///< Failure domain of the origin.
    Millis coldDuration{0}; ///< How long a target is cold after its start; 0 if never.
    double coldPerSecond = 0; ///< Requests a second that a cold target takes from all entry VMs; 0 for no limit.
};

/// Limits on the size and the duration of callers' requests.
struct CallerLimits
{
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = 4194304;
    Millis headTimeout{3000};
    Millis idleTimeout{15000};
};

/// A customer with its API keys.
struct Workspace
{
    std::string name;
    std::vector<std::string> keys;
    int priority = 0;
    std::vector<std::string> allowedRegions; ///< Regions in which its requests may be served; empty for all.
};

/// One version of the desired state.
struct DesiredState
{
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service, std::less<>> services;
    CallerLimits limits;
    std::vector<Workspace> workspaces; ///< Empty if no request needs a key.

    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost; ///< Longest prefix first.
    std::unordered_map<std::string, std::size_t> workspaceByKey;
};

/// Builds the lookup indexes of a state whose routes and workspaces are complete.
void buildIndexes(DesiredState &state);

/// Finds the route whose path prefix is the longest match. A query in the path is ignored.
/// @return the route, or null.
const Route *findRoute(const DesiredState &state, std::string_view host, std::string_view path);

/// Finds the workspace that holds a key.
/// @return the workspace, or null.
const Workspace *findWorkspace(const DesiredState &state, std::string_view key);

/// Samples one of a route's services by weight.
/// @param sample uniformly distributed over [0, 1).
/// @return the service's name; empty if the route names none.
std::string_view sampleService(const Route &route, double sample);

/// Returns whether the targets of a service are engines.
bool hasEngine(const DesiredState &state, const std::string &service);

/// Returns whether the requests to cold targets of a service are limited.
bool hasColdLimit(const DesiredState &state, const std::string &service);

/// Finds the service that is the origin of weights.
/// @return the service, or null.
const Service *findOrigin(const DesiredState &state);

} // namespace ibislock::serving
