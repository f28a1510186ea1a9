#include "ibislock/requests/fair_queue.h"

#include <algorithm>

namespace ibislock::requests
{

namespace
{

WorkspaceQueue &laneOf(FairQueue &queue, const std::string &workspace)
{
    const auto [it, isNew] = queue.workspaceQueues.try_emplace(workspace);
    if (isNew) {
        const auto weight = queue.options.weights.find(workspace);
        it->second.weight = weight == queue.options.weights.end() ? 1 : weight->second;
    }
    return it->second;
}

void noteTaken(FairQueue &queue, WorkspaceQueue &lane, const QueuedRequest &request)
{
    lane.backlogCost -= request.cost;
    --queue.size;
}

bool isEmpty(const WorkspaceQueue &lane)
{
    return std::all_of(lane.byPriority.begin(), lane.byPriority.end(),
                       [](const auto &waiting) { return waiting.empty(); });
}

/// Gives the virtual time at which a lane's last request would end.
double endOf(const FairQueue &queue, const WorkspaceQueue &lane)
{
    return std::max(queue.virtualTime, lane.finishTag) + lane.backlogCost / lane.weight;
}

/// Takes the newest request of the lowest priority from the workspace whose backlog would end last.
QueuedRequest shedOne(FairQueue &queue)
{
    const auto heaviest =
        std::max_element(queue.workspaceQueues.begin(), queue.workspaceQueues.end(), [&](const auto &a, const auto &b) {
            const bool aWaits = !isEmpty(a.second);
            const bool bWaits = !isEmpty(b.second);
            return aWaits != bWaits ? bWaits : endOf(queue, a.second) < endOf(queue, b.second);
        });
    WorkspaceQueue &lane = heaviest->second;
    const auto waiting =
        std::find_if(lane.byPriority.begin(), lane.byPriority.end(), [](const auto &it) { return !it.empty(); });
    QueuedRequest shed = std::move(waiting->back());
    waiting->pop_back();
    noteTaken(queue, lane, shed);
    return shed;
}

/// Takes the requests out for which a predicate holds.
template <typename Predicate>
std::vector<QueuedRequest> takeIf(FairQueue &queue, Predicate &&predicate)
{
    std::vector<QueuedRequest> taken;
    for (auto &[workspace, lane] : queue.workspaceQueues) {
        for (auto &waiting : lane.byPriority) {
            const auto end = std::stable_partition(waiting.begin(), waiting.end(),
                                                   [&](const QueuedRequest &request) { return !predicate(request); });
            for (auto it = end; it != waiting.end(); ++it) {
                noteTaken(queue, lane, *it);
                taken.push_back(std::move(*it));
            }
            waiting.erase(end, waiting.end());
        }
    }
    return taken;
}

} // namespace

std::optional<QueuedRequest> push(FairQueue &queue, QueuedRequest request)
{
    WorkspaceQueue &lane = laneOf(queue, request.workspace);
    lane.backlogCost += request.cost;
    ++queue.size;
    auto &waiting = lane.byPriority.at(static_cast<std::size_t>(request.priority));
    waiting.push_back(std::move(request));
    if (queue.size <= queue.options.capacity) {
        return std::nullopt;
    }
    return shedOne(queue);
}

std::optional<QueuedRequest> pop(FairQueue &queue)
{
    WorkspaceQueue *next = nullptr;
    double start = 0;
    for (auto &[workspace, lane] : queue.workspaceQueues) {
        if (isEmpty(lane)) {
            continue;
        }
        const double laneStart = std::max(queue.virtualTime, lane.finishTag);
        if (next == nullptr || laneStart < start) {
            next = &lane;
            start = laneStart;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    const auto waiting =
        std::find_if(next->byPriority.rbegin(), next->byPriority.rend(), [](const auto &it) { return !it.empty(); });
    QueuedRequest request = std::move(waiting->front());
    waiting->pop_front();
    noteTaken(queue, *next, request);
    queue.virtualTime = start;
    next->finishTag = start + request.cost / next->weight;
    return request;
}

std::vector<QueuedRequest> takeExpired(FairQueue &queue, Millis now)
{
    return takeIf(queue, [now](const QueuedRequest &request) { return request.expiresAt <= now; });
}

bool remove(FairQueue &queue, std::uint64_t ticket)
{
    return !takeIf(queue, [ticket](const QueuedRequest &request) { return request.id == ticket; }).empty();
}

std::vector<QueuedRequest> takeAll(FairQueue &queue)
{
    return takeIf(queue, [](const QueuedRequest &) { return true; });
}

} // namespace ibislock::requests
