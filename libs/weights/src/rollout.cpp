#include "ibislock/weights/rollout.h"

#include <algorithm>
#include <cmath>

namespace ibislock::weights
{

std::size_t maxUnavailable(std::size_t members, const RolloutOptions &options)
{
    const double spare = static_cast<double>(members) * (1.0 - options.minServingFraction);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(spare)));
}

bool mayDrain(std::span<const RolloutMember> members, const std::string &self, const RolloutOptions &options)
{
    std::size_t budget = maxUnavailable(members.size(), options);
    std::size_t moving = 0;
    for (const RolloutMember &member : members) {
        // A stalled VM that doesn't serve uses up a part of the budget, but the rollout continues with at least one VM
        // at a time.
        const bool isLost = member.vm != self && member.isLive && member.isStalled && !member.isServing;
        budget -= isLost && budget > 1 ? 1 : 0;
    }
    for (const RolloutMember &member : members) {
        if (member.vm == self) {
            return moving < budget;
        }
        if (member.isLive && !member.isUpdated && !member.isStalled) {
            ++moving;
        }
    }
    return true;
}

} // namespace ibislock::weights
