// Finds workspaces that request several times the usual share. Under contention, their requests leave the last slots of
// each engine to other workspaces; while slots are free, they may use all of them. Handles one workspace that requests
// eight times its share.
//
//     recordWorkspace(shares, "w", now);
//     double reserved = reservedShare(urgency) + workspaceReserve(shares, "w", now);

#pragma once

#include "ibislock/base/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace ibislock::serving
{

/// Recent requests of one workspace at one entry VM.
struct WorkspaceRate
{
    double requests = 0; ///< Requests within `WorkspaceMemory`, decaying.
    Millis updatedAt{0};
};

/// Recent requests of all workspaces, by name. A name is added only for a key of the desired state, so that the number
/// of entries is bounded by that of the workspaces.
using WorkspaceShares = std::map<std::string, WorkspaceRate, std::less<>>;

/// Time constant of the rates. An entry VM gets some 7 requests a second of 24 workspaces; shorter ones confuse chance
/// with a large share.
inline constexpr Millis WorkspaceMemory{10000};

/// A workspace with more than this many times the mean of all active workspaces counts as heavy.
inline constexpr double HeavyWorkspaceFactor = 3;

/// Requests below which a workspace does not count as heavy, whatever its share.
inline constexpr double LeastHeavyRequests = 10;

/// Share of an engine's slots that requests of a heavy workspace leave to others.
inline constexpr double HeavyWorkspaceReserve = 0.09;

/// Records a request of a workspace.
void recordWorkspace(WorkspaceShares &shares, std::string_view workspace, Millis now);

/// Returns the share of an engine's slots that requests of a workspace leave to others: 0 unless it is heavy.
double workspaceReserve(const WorkspaceShares &shares, std::string_view workspace, Millis now);

} // namespace ibislock::serving
