// Urgency of the kinds of requests of one service. Where the routes of a service differ in `Priority`, the last slots
// of each engine are reserved for more urgent kinds, and engines admit these first. Where all routes have the same
// priority, nothing is reserved and no priority is sent. Handles loads above the capacity of a service whose routes
// differ in priority.
//
//     Urgency urgency = urgencyOf(state, "summaries", route.priority);
//     double reserved = reservedShare(urgency);
//     int header = enginePriority(urgency);

#pragma once

#include "ibislock/serving/desired_state.h"

namespace ibislock::serving
{

/// Position of a route among the routes of its service.
struct Urgency
{
    int rank = 0; ///< Number of distinct priorities that are more urgent; 0 for the most urgent routes.
    int ranks = 1; ///< Number of distinct priorities among the routes of the service.
};

/// Determines the urgency of a route's requests to a service.
Urgency urgencyOf(const DesiredState &state, std::string_view service, int routePriority);

/// Share of an engine's slots that is reserved for each more urgent rank: one of 12, and one of 16. Without it, all
/// slots are taken by less urgent requests when an urgent one arrives; more leaves slots unused.
inline constexpr double ReservedSharePerRank = 0.09;

/// Greatest share of an engine's slots that is reserved, however many ranks there are.
inline constexpr double MaxReservedShare = 0.25;

/// Returns the share of an engine's slots that requests of this urgency leave to more urgent ones.
/// @param returned whether the request is its caller's second attempt. It counts as one rank more urgent, so that less
/// urgent kinds don't starve.
double reservedShare(const Urgency &urgency, bool returned = false);

/// Returns whether routes of the service differ in priority, and this one doesn't have the least urgent.
bool isUrgent(const Urgency &urgency);

/// Returns the priority with which an engine admits a request, 0 (first) to 9; -1 to send none, where all routes of the
/// service have the same priority.
int enginePriority(const Urgency &urgency);

} // namespace ibislock::serving
