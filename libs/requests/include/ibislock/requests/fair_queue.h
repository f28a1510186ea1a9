// Bounded queue in front of an engine, with weighted fair shares between workspaces, priorities within each workspace
// and deadlines.
//
//     FairQueue queue{.options = {.capacity = 16, .weights = {{"dala", 2.0}}}};
//     std::optional<QueuedRequest> shed = push(queue, {.id = 1, .workspace = "dala", .cost = 64, .expiresAt = at});
//     std::optional<QueuedRequest> next = pop(queue);
//     std::vector<QueuedRequest> late = takeExpired(queue, now);
//
// Scheduling is start-time fair queueing: each workspace has a virtual time that grows by cost divided by weight, and
// the workspace with the earliest virtual start time is served next. A full queue sheds from the workspace whose
// backlog would finish last in virtual time, which is the one that has received or requests most relative to its
// weight. Within that workspace the newest request of the lowest priority is shed.

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

/// A request in the queue.
struct QueuedRequest
{
    std::uint64_t id = 0; ///< Identifier chosen by the user of the queue.
    std::string workspace;
    Priority priority = Priority::Normal;
    std::uint32_t cost = 1; ///< Expected work, in tokens.
    Millis expiresAt{0};
};

/// Capacity and shares of the queue.
struct FairQueueOptions
{
    std::size_t capacity = 16; ///< The maximum number of queued requests.
    std::map<std::string, double, std::less<>> weights; ///< Share of each workspace; 1 for those not listed.
};

/// The queued requests of one workspace.
struct WorkspaceQueue
{
    std::array<std::deque<QueuedRequest>, PriorityCount> byPriority;
    double weight = 1;
    double backlogCost = 0; ///< Total cost of the queued requests, in tokens.
    double finishTag = 0; ///< Virtual finish time of the request served last.
};

/// A weighted fair queue over all workspaces.
struct FairQueue
{
    FairQueueOptions options;
    std::map<std::string, WorkspaceQueue, std::less<>> workspaceQueues;
    double virtualTime = 0;
    std::size_t size = 0;
};

/// Adds a request.
/// @return the request that was shed, possibly the new one itself, or nothing if the queue had room.
std::optional<QueuedRequest> push(FairQueue &queue, QueuedRequest request);

/// Removes and returns the request to serve next.
/// @return the request, or nothing if the queue is empty.
std::optional<QueuedRequest> pop(FairQueue &queue);

/// Removes and returns the requests whose deadline has passed.
std::vector<QueuedRequest> takeExpired(FairQueue &queue, Millis now);

/// Removes a request.
/// @return whether the request was in the queue.
bool remove(FairQueue &queue, std::uint64_t id);

/// Removes and returns all requests.
std::vector<QueuedRequest> takeAll(FairQueue &queue);

} // namespace ibislock::requests
