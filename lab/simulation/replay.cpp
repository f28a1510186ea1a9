#include "simulation/replay.h"

#include "simulation/replay_state.h"

#include <numeric>

namespace ibislock::lab
{

ReplayOutcome replay(const LoadPattern &pattern, const LoadPolicy &policy, std::uint64_t seed)
{
    ReplayState state(pattern, policy, seed);
    startEngines(state);
    startCallers(state);
    while (!state.events.empty()) {
        const auto first = state.events.begin();
        state.now = first->first.at;
        const auto action = std::move(first->second);
        state.events.erase(first);
        action();
    }
    return std::move(state.outcome);
}

double worthShare(const ReplayOutcome &outcome)
{
    return outcome.worthOwed > 0 ? outcome.worthEarned / outcome.worthOwed : 0;
}

double servedShare(const std::array<int, 5> &ends)
{
    const double served =
        ends[static_cast<std::size_t>(ReplayEnd::OnTime)] + ends[static_cast<std::size_t>(ReplayEnd::Late)];
    return served / std::max(1, std::accumulate(ends.begin(), ends.end(), 0));
}

double onTimeShare(const std::array<int, 5> &ends)
{
    const double onTime = ends[static_cast<std::size_t>(ReplayEnd::OnTime)];
    return onTime / std::max(1, std::accumulate(ends.begin(), ends.end(), 0));
}

double boundShare(const ReplayOutcome &outcome)
{
    return outcome.worthBound > 0 ? outcome.worthEarned / outcome.worthBound : 0;
}

} // namespace ibislock::lab
