#include "ibislock/configuration/lease.h"

#include "ibislock/base/state_chart.h"

#include <algorithm>

namespace ibislock::configuration
{

namespace
{

const Claim *claimOf(const State &state, const std::string &vm)
{
    const auto it = state.claims.find(vm);
    return it == state.claims.end() ? nullptr : &it->second;
}

} // namespace

std::optional<ClaimRecord> claimToAppend(const Lease &lease, const State &state)
{
    const Claim *claim = claimOf(state, lease.vm);
    const bool isOwn = claim != nullptr && claim->incarnation == lease.incarnation;
    if (lease.status != LeaseStatus::Claiming || isOwn) {
        return std::nullopt;
    }
    return ClaimRecord{.vm = lease.vm,
                       .incarnation = lease.incarnation,
                       .replaces = claim == nullptr ? std::nullopt : std::optional(claim->fencingToken)};
}

void applyLogRead(Lease &lease, const State &state, Millis readStartedAt)
{
    const Claim *claim = claimOf(state, lease.vm);
    const bool isOwn = claim != nullptr && claim->incarnation == lease.incarnation
        && (lease.status != LeaseStatus::Held || claim->fencingToken == lease.fencingToken);
    const Transition &transition =
        transitionOf(embeddedChart("lease"), nameOf(LeaseStatusNames, lease.status), isOwn ? "own" : "other");
    lease.status = valueOf(LeaseStatusNames, transition.next).value_or(LeaseStatus::Lost);
    if (transition.action == "confirm") {
        lease.fencingToken = claim->fencingToken;
        lease.confirmedAt = std::max(lease.confirmedAt, readStartedAt);
    }
}

bool mayAct(const Lease &lease, const LeaseOptions &options, Millis now)
{
    return lease.status == LeaseStatus::Held && now - lease.confirmedAt < options.duration;
}

} // namespace ibislock::configuration
