// The queue before an engine: weighted fair shares between workspaces, priorities within each, bounded and with
// deadlines.
//
//     FairQueue queue{.options = {.capacity = 16, .weights = {{"dala", 2.0}}}};
//     std::optional<QueuedRequest> shed = push(queue, {.ticket = 1, .workspace = "dala", .cost = 64, .expiresAt = at});
//     std::optional<QueuedRequest> next = pop(queue);
//     std::vector<QueuedRequest> late = takeExpired(queue, now);
//
// Shares follow start-time fair queueing: each workspace has a virtual time that grows by cost over weight, and the
// workspace that is furthest behind goes next. A full queue makes room at the workspace whose backlog would end last,
// which is the one that has had or asks for most for its weight; there at the lowest priority, newest first.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/requests/priority.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibislock::requests
{

/// A request that waits.
struct QueuedRequest
{
    std::uint64_t id = 0; ///< The caller's name for the request.
    std::string workspace;
    Priority priority = Priority::Normal;
    std::uint32_t cost = 1; ///< Expected work in tokens.
    Millis expiresAt{0};
};

/// Limits and shares.
struct FairQueueOptions
{
    std::size_t capacity = 16; ///< Requests that may wait.
    std::map<std::string, double, std::less<>> weights; ///< Shares of the workspaces; 1 for those not named.
};

/// The waiting requests of one workspace.
struct WorkspaceQueue
{
    std::array<std::deque<QueuedRequest>, PriorityCount> byPriority;
    double weight = 1;
    double backlogCost = 0; ///< Cost of the waiting requests.
    double finishTag = 0; ///< Virtual time up to which the workspace has been served.
};

/// The queue.
struct FairQueue
{
    FairQueueOptions options;
    std::map<std::string, WorkspaceQueue, std::less<>> workspaceQueues;
    double virtualTime = 0;
    std::size_t size = 0;
};

/// Adds a request.
/// @return the request that had to give way, possibly the new one itself, or nothing when there was room.
std::optional<QueuedRequest> push(FairQueue &queue, QueuedRequest request);

/// Takes the request that goes next.
std::optional<QueuedRequest> pop(FairQueue &queue);

/// Takes the requests whose time has run out.
std::vector<QueuedRequest> takeExpired(FairQueue &queue, Millis now);

/// Takes a request out.
/// @return whether it was waiting.
bool remove(FairQueue &queue, std::uint64_t ticket);

/// Takes all requests out.
std::vector<QueuedRequest> takeAll(FairQueue &queue);

} // namespace ibislock::requests
