#include "ibislock/serving/urgency.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

Route route(int priority, const std::string &service)
{
    return {.priority = priority, .services = {{.service = service}}};
}

// Guards against reservations and headers on deployments whose routes to a service have one priority.
TEST(UrgencyTest, RoutesOfOnePriorityReserveNothing)
{
    const DesiredState state{.routes = {route(1, "engines"), route(1, "engines"), route(2, "plain")}};
    const Urgency urgency = urgencyOf(state, "engines", 1);
    EXPECT_EQ(reservedShare(urgency), 0);
    EXPECT_EQ(enginePriority(urgency), -1);
}

// Guards against less urgent kinds that take the last slots, and against an engine that admits them first.
TEST(UrgencyTest, LessUrgentRoutesLeaveSlotsToMoreUrgentOnes)
{
    const DesiredState state{.routes = {route(7, "engines"), route(0, "engines"), route(3, "engines")}};
    EXPECT_EQ(reservedShare(urgencyOf(state, "engines", 0)), 0);
    EXPECT_LT(reservedShare(urgencyOf(state, "engines", 3)), reservedShare(urgencyOf(state, "engines", 7)));
    EXPECT_LE(reservedShare({.rank = 50, .ranks = 51}), MaxReservedShare);
    EXPECT_EQ(enginePriority(urgencyOf(state, "engines", 0)), 0);
    EXPECT_EQ(enginePriority(urgencyOf(state, "engines", 7)), 2);
    EXPECT_EQ(enginePriority({.rank = 50, .ranks = 51}), 9);
}

} // namespace

} // namespace ibislock::serving
