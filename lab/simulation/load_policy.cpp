#include "simulation/load_policy.h"

#include <algorithm>
#include <array>

namespace ibislock::lab
{

namespace
{

/// Requests per slot that no load reaches.
constexpr double Everything = 1000;

} // namespace

std::span<const LoadPolicy> loadPolicies()
{
    static const std::array policies{
        LoadPolicy{.name = "product", .what = "as the product does"},
        LoadPolicy{.name = "send-all",
                   .what = "everything is sent and waits inside the engines",
                   .placement = {.engineFullOccupancy = Everything, .lateEngineFullOccupancy = Everything}},
        LoadPolicy{
            .name = "wait-0", .what = "no waiting", .admission = {.maxWaitFraction = 0, .urgentWaitFraction = 0}},
        LoadPolicy{
            .name = "wait-half", .what = "waiting up to half of the objective", .admission = {.maxWaitFraction = 0.5}},
        LoadPolicy{.name = "wait-whole", .what = "waiting up to the objective", .admission = {.maxWaitFraction = 1}},
        LoadPolicy{.name = "draw-1", .what = "a target at random", .placement = {.sampledTargets = 1}},
        LoadPolicy{.name = "draw-2", .what = "the better of two", .placement = {.sampledTargets = 2}},
        LoadPolicy{.name = "draw-5", .what = "the best of five", .placement = {.sampledTargets = 5}},
        LoadPolicy{.name = "draw-all", .what = "the best of all", .placement = {.sampledTargets = 1000}},
        LoadPolicy{.name = "full-0.8",
                   .what = "engines full at 0.8 of their slots",
                   .placement = {.engineFullOccupancy = 0.8}},
        LoadPolicy{.name = "full-1.2",
                   .what = "engines full at 1.2 of their slots",
                   .placement = {.engineFullOccupancy = 1.2}},
        LoadPolicy{.name = "full-1.5",
                   .what = "engines full at 1.5 of their slots",
                   .placement = {.engineFullOccupancy = 1.5}},
        LoadPolicy{.name = "late-equal", .what = "late requests are treated like others", .refusesLate = false},
        LoadPolicy{.name = "no-prompts", .what = "by requests alone, not by prompts to read", .countsPrompts = false},
        LoadPolicy{
            .name = "domain-0", .what = "no preference for the own domain", .placement = {.crossDomainPenalty = 0}},
        LoadPolicy{.name = "domain-0.3",
                   .what = "a strong preference for the own domain",
                   .placement = {.crossDomainPenalty = 0.3}},
        LoadPolicy{.name = "unseen-0", .what = "reports are taken as fresh", .unseen = Millis{0}},
        LoadPolicy{.name = "unseen-200", .what = "reports are taken as 200 ms old", .unseen = Millis{200}},
        LoadPolicy{.name = "priority-equal", .what = "no slots are left to more urgent kinds", .reserves = false},
        LoadPolicy{.name = "no-contention", .what = "every entry VM uses each free slot", .contends = false},
        LoadPolicy{.name = "before",
                   .what = "as the product did without priorities and contention",
                   .admission = {.maxWaitFraction = 0.125, .urgentWaitFraction = 0},
                   .reserves = false,
                   .foresees = false,
                   .ordersBySlack = false,
                   .contends = false},
        LoadPolicy{.name = "late-at-objective", .what = "late when the objective has passed", .foresees = false},
        LoadPolicy{.name = "order-arrival", .what = "waiting requests in the order of arrival", .ordersBySlack = false},
        LoadPolicy{.name = "wait-equal",
                   .what = "the most urgent kinds wait no longer than others",
                   .admission = {.urgentWaitFraction = 0}},
        LoadPolicy{.name = "wait-eighth",
                   .what = "waiting up to an eighth of the objective",
                   .admission = {.maxWaitFraction = 0.125, .urgentWaitFraction = 0}},
        LoadPolicy{
            .name = "workspaces-equal", .what = "heavy workspaces may use all slots", .sharesByWorkspace = false},
        LoadPolicy{.name = "users-1", .what = "one entry VM for each free slot", .placement = {.usersPerFreeSlot = 1}},
        LoadPolicy{.name = "users-2", .what = "two entry VMs for each free slot", .placement = {.usersPerFreeSlot = 2}},
        LoadPolicy{
            .name = "users-4", .what = "four entry VMs for each free slot", .placement = {.usersPerFreeSlot = 4}},
    };
    return policies;
}

const LoadPolicy *findPolicy(std::string_view name)
{
    const auto policies = loadPolicies();
    const auto it = std::find_if(policies.begin(), policies.end(), [&](const auto &item) { return item.name == name; });
    return it == policies.end() ? nullptr : &*it;
}

} // namespace ibislock::lab
