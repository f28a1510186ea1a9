// What the operators want served: routes, services, workspaces and limits, as one version.
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

/// What may be repeated.
enum class RequestKind {
    Idempotent, ///< May run any number of times.
    NonIdempotent, ///< May run once at most.
    Stream, ///< A series of events; may run again only if the route allows to resume.
};

/// External names of the kinds of requests.
inline constexpr NameTable<RequestKind, 3> RequestKindNames{{
    {RequestKind::Idempotent, "idempotent"},
    {RequestKind::NonIdempotent, "non_idempotent"},
    {RequestKind::Stream, "stream"},
}};

/// A service and its share of a route's requests.
struct WeightedService
{
    std::string service;
    double weight = 1;
};

/// Which requests go to which services, and how.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    RequestKind kind = RequestKind::Idempotent;
    Millis timeout{0}; ///< The longest time that a request is kept.
    Millis latencyObjective{0}; ///< The response-time objective.
    int priority = 0; ///< 0 is served first.
    std::vector<WeightedService> services;
    int maxTargets = 1; ///< To how many targets one request may be sent.
    bool anonymous = false; ///< Needs no key.
    bool resumable = false; ///< A stream may go on at another target.
};

/// How an engine of batches works; the figures that decisions use.
struct EngineSpec
{
    int slots = 0; ///< Requests that are generated at once.
    double stepMs = 0; ///< Time of one token for all requests.
    double promptTokensPerMs = 0;
    int typicalPromptTokens = 0;
    int stepsPerPass = 1;
    int chunks = 0; ///< Pieces of a version of the weights.
    std::uint64_t chunkBytes = 0;
    Millis warmUp{0}; ///< Time to load a whole version.
    std::vector<std::string> models;
};

/// A group of targets that serve the same.
struct Service
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; ///< That one target accepts from all callers together.
    std::optional<EngineSpec> engine;
    std::string originAddress; ///< Where weights come from; empty unless this is the origin.
    double originMbps = 0; ///< Of its link; 0 if unknown.
    std::string originDomain; ///< Of the origin.
};

/// What callers may send, and how slowly.
struct CallerLimits
{
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = 4194304;
    Millis headTimeout{3000};
    Millis idleTimeout{15000};
};

/// A customer with its keys.
struct Workspace
{
    std::string name;
    std::vector<std::string> keys;
    int priority = 0;
};

/// One version of everything that the operators want.
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

/// Fills the indexes of a state whose lists are complete.
void buildIndexes(DesiredState &state);

/// Finds the route of the longest prefix that begins the path. A query in the path is ignored.
/// @return the route, or null.
const Route *findRoute(const DesiredState &state, std::string_view host, std::string_view path);

/// Finds the workspace that holds a key.
/// @return the workspace, or null.
const Workspace *findWorkspace(const DesiredState &state, std::string_view key);

/// Draws one of a route's services by their weights.
/// @param draw evenly from 0 up to 1.
/// @return the service's name; empty if the route names none.
std::string_view sampleService(const Route &route, double draw);

/// Tells whether the targets of a service are engines.
bool hasEngine(const DesiredState &state, const std::string &service);

/// Finds the service that is the origin of weights.
const Service *findOrigin(const DesiredState &state);

} // namespace ibislock::serving
