#include "ibislock/requests/fair_queue.h"

#include <algorithm>

namespace ibislock::requests
{

namespace
{

WorkspaceQueue &queueOf(FairQueue &queue, const std::string &workspace)
{
    const auto [it, isNew] = queue.workspaceQueues.try_emplace(workspace);
    if (isNew) {
        const auto weight = queue.options.weights.find(workspace);
        it->second.weight = weight == queue.options.weights.end() ? 1 : weight->second;
    }
    return it->second;
}

void recordRemoval(FairQueue &queue, WorkspaceQueue &workspaceQueue, const QueuedRequest &request)
{
    workspaceQueue.backlogCost -= request.cost;
    --queue.size;
}

bool isEmpty(const WorkspaceQueue &workspaceQueue)
{
    return std::all_of(workspaceQueue.byPriority.begin(), workspaceQueue.byPriority.end(),
                       [](const auto &requests) { return requests.empty(); });
}

/// Returns the virtual time at which the last queued request of a workspace would finish.
double virtualFinishOf(const FairQueue &queue, const WorkspaceQueue &workspaceQueue)
{
    return std::max(queue.virtualTime, workspaceQueue.finishTag) + workspaceQueue.backlogCost / workspaceQueue.weight;
}

/// Removes the newest request of the lowest priority from the workspace whose backlog would finish last.
QueuedRequest shedOne(FairQueue &queue)
{
    const auto heaviest =
        std::max_element(queue.workspaceQueues.begin(), queue.workspaceQueues.end(), [&](const auto &a, const auto &b) {
            const bool aHasRequests = !isEmpty(a.second);
            const bool bHasRequests = !isEmpty(b.second);
            return aHasRequests != bHasRequests ? bHasRequests
                                                : virtualFinishOf(queue, a.second) < virtualFinishOf(queue, b.second);
        });
    WorkspaceQueue &workspaceQueue = heaviest->second;
    const auto requests = std::find_if(workspaceQueue.byPriority.begin(), workspaceQueue.byPriority.end(),
                                       [](const auto &it) { return !it.empty(); });
    QueuedRequest shed = std::move(requests->back());
    requests->pop_back();
    recordRemoval(queue, workspaceQueue, shed);
    return shed;
}

/// Removes and returns the requests that satisfy a predicate.
template <typename Predicate>
std::vector<QueuedRequest> takeIf(FairQueue &queue, Predicate &&predicate)
{
    std::vector<QueuedRequest> removed;
    for (auto &[workspace, workspaceQueue] : queue.workspaceQueues) {
        for (auto &requests : workspaceQueue.byPriority) {
            const auto end = std::stable_partition(requests.begin(), requests.end(),
                                                   [&](const QueuedRequest &request) { return !predicate(request); });
            for (auto it = end; it != requests.end(); ++it) {
                recordRemoval(queue, workspaceQueue, *it);
                removed.push_back(std::move(*it));
            }
            requests.erase(end, requests.end());
        }
    }
    return removed;
}

} // namespace

std::optional<QueuedRequest> push(FairQueue &queue, QueuedRequest request)
{
    WorkspaceQueue &workspaceQueue = queueOf(queue, request.workspace);
    workspaceQueue.backlogCost += request.cost;
    ++queue.size;
    auto &requests = workspaceQueue.byPriority.at(static_cast<std::size_t>(request.priority));
    requests.push_back(std::move(request));
    if (queue.size <= queue.options.capacity) {
        return std::nullopt;
    }
    return shedOne(queue);
}

std::optional<QueuedRequest> pop(FairQueue &queue)
{
    WorkspaceQueue *next = nullptr;
    double start = 0;
    for (auto &[workspace, workspaceQueue] : queue.workspaceQueues) {
        if (isEmpty(workspaceQueue)) {
            continue;
        }
        const double startTag = std::max(queue.virtualTime, workspaceQueue.finishTag);
        if (next == nullptr || startTag < start) {
            next = &workspaceQueue;
            start = startTag;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    const auto requests =
        std::find_if(next->byPriority.rbegin(), next->byPriority.rend(), [](const auto &it) { return !it.empty(); });
    QueuedRequest request = std::move(requests->front());
    requests->pop_front();
    recordRemoval(queue, *next, request);
    queue.virtualTime = start;
    next->finishTag = start + request.cost / next->weight;
    return request;
}

std::vector<QueuedRequest> takeExpired(FairQueue &queue, Millis now)
{
    return takeIf(queue, [now](const QueuedRequest &request) { return request.expiresAt <= now; });
}

bool remove(FairQueue &queue, std::uint64_t id)
{
    return !takeIf(queue, [id](const QueuedRequest &request) { return request.id == id; }).empty();
}

std::vector<QueuedRequest> takeAll(FairQueue &queue)
{
    return takeIf(queue, [](const QueuedRequest &) { return true; });
}

} // namespace ibislock::requests
