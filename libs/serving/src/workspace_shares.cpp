#include "ibislock/serving/workspace_shares.h"

#include <algorithm>
#include <cmath>

namespace ibislock::serving
{

namespace
{

/// Decayed requests below which a workspace doesn't count as active.
constexpr double LeastActive = 0.2;

double decayed(const WorkspaceRate &rate, Millis now)
{
    const double age = static_cast<double>(std::max(Millis{0}, now - rate.updatedAt).count());
    return rate.requests * std::exp(-age / static_cast<double>(WorkspaceMemory.count()));
}

} // namespace

void recordWorkspace(WorkspaceShares &shares, std::string_view workspace, Millis now)
{
    auto it = shares.find(workspace);
    if (it == shares.end()) {
        it = shares.emplace(std::string(workspace), WorkspaceRate{}).first;
    }
    it->second = {.requests = decayed(it->second, now) + 1, .updatedAt = now};
}

double workspaceReserve(const WorkspaceShares &shares, std::string_view workspace, Millis now)
{
    const auto it = shares.find(workspace);
    const double own = it == shares.end() ? 0 : decayed(it->second, now);
    if (own < LeastHeavyRequests) {
        return 0;
    }
    double all = 0;
    int active = 0;
    for (const auto &[name, rate] : shares) {
        const double requests = decayed(rate, now);
        all += requests;
        active += requests >= LeastActive ? 1 : 0;
    }
    return own > HeavyWorkspaceFactor * all / std::max(1, active) ? HeavyWorkspaceReserve : 0;
}

} // namespace ibislock::serving
