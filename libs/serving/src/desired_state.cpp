#include "ibislock/serving/desired_state.h"

#include <algorithm>

namespace ibislock::serving
{

namespace
{

std::string lowerCase(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
    return out;
}

} // namespace

void buildIndexes(DesiredState &state)
{
    state.routesByHost.clear();
    state.workspaceByKey.clear();
    for (std::size_t n = 0; n < state.routes.size(); ++n) {
        state.routesByHost[lowerCase(state.routes[n].host)].push_back(n);
    }
    for (auto &[host, indexes] : state.routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [&](std::size_t a, std::size_t b) {
            return state.routes[a].pathPrefix.size() > state.routes[b].pathPrefix.size();
        });
    }
    for (std::size_t n = 0; n < state.workspaces.size(); ++n) {
        for (const std::string &key : state.workspaces[n].keys) {
            state.workspaceByKey.emplace(key, n);
        }
    }
}

const Route *findRoute(const DesiredState &state, std::string_view host, std::string_view path)
{
    const auto it = state.routesByHost.find(lowerCase(host.substr(0, host.find(':'))));
    if (it == state.routesByHost.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    for (const std::size_t index : it->second) {
        if (path.starts_with(state.routes[index].pathPrefix)) {
            return &state.routes[index];
        }
    }
    return nullptr;
}

const Workspace *findWorkspace(const DesiredState &state, std::string_view key)
{
    const auto it = state.workspaceByKey.find(std::string(key));
    return it == state.workspaceByKey.end() ? nullptr : &state.workspaces[it->second];
}

std::string_view sampleService(const Route &route, double sample)
{
    double total = 0;
    for (const WeightedService &weighted : route.services) {
        total += weighted.weight;
    }
    double remaining = sample * total;
    for (const WeightedService &weighted : route.services) {
        remaining -= weighted.weight;
        if (remaining < 0) {
            return weighted.service;
        }
    }
    return route.services.empty() ? std::string_view() : std::string_view(route.services.back().service);
}

bool hasEngine(const DesiredState &state, const std::string &service)
{
    const auto it = state.services.find(service);
    return it != state.services.end() && it->second.engine.has_value();
}

bool hasColdLimit(const DesiredState &state, const std::string &service)
{
    const auto it = state.services.find(service);
    return it != state.services.end() && it->second.coldDuration > Millis{0} && it->second.coldPerSecond > 0;
}

const Service *findOrigin(const DesiredState &state)
{
    for (const auto &[name, service] : state.services) {
        if (!service.originAddress.empty()) {
            return &service;
        }
    }
    return nullptr;
}

} // namespace ibislock::serving
