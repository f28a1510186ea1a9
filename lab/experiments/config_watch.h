// What the experiment on tickets sees: which daemon holds which ticket, since when, and whether any state went back.
//
// Pure bookkeeping; the runner feeds it samples with the time of each.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/digest.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibislock::lab
{

/// One look at one daemon.
struct Sample
{
    std::uint64_t lastTicket = 0;
    Digest lastContent;
};

/// Time during which a daemon can't be expected to follow: it is down, paused, cut off, or the log is away.
struct Disturbance
{
    Millis begin{0};
    Millis end = Millis::max();
};

/// What is known of one daemon.
struct WatchedDaemon
{
    std::uint64_t lastTicket = 0; ///< Of its present life.
    std::map<std::uint64_t, Millis> seen; ///< When the daemon first held each ticket or a later one.
    std::vector<Disturbance> disturbances;
    bool isUp = false;
    Millis releasedAt{0}; ///< When the last fault ended for the daemon.
    std::uint64_t behind = 0; ///< The newest ticket that was accepted by then; zero once the daemon holds it.
};

/// The bookkeeping of one run.
struct Watch
{
    std::map<std::string, WatchedDaemon> daemons;
    std::map<std::uint64_t, Millis> acceptedAt; ///< When some daemon first held the ticket.
    std::map<std::uint64_t, Digest> contents; ///< The content that holds each number.
    std::uint64_t reverted = 0;
    std::uint64_t doubleAccepted = 0;
    double catchUpMaxMs = 0; ///< The longest time from the end of a fault until all earlier tickets were held.
};

/// Times until tickets were in force.
struct InForceTimes
{
    std::vector<double> undisturbedMs; ///< For each ticket, the slowest daemon that no fault held up.
    std::uint64_t missing = 0; ///< Pairs of daemon and ticket that were never seen.
};

/// Takes in a look at a daemon.
void observe(Watch &watch, const std::string &daemon, const Sample &sample, Millis now);

/// Notes that a daemon begins a life, empty, or ends it.
void noteUp(Watch &watch, const std::string &daemon, Millis now);
void noteDown(Watch &watch, const std::string &daemon, Millis now);

/// Notes that a fault begins or ends for a daemon.
void noteDisturbed(Watch &watch, const std::string &daemon, Millis now);
void noteUndisturbed(Watch &watch, const std::string &daemon, Millis now);

/// Tells whether every daemon that is up holds a ticket.
bool isEverywhere(const Watch &watch, std::uint64_t ticket);

/// Works out the times.
InForceTimes inForceTimes(const Watch &watch);

/// Gives the value below which a share of the values lies; zero when there are none.
double shareOf(std::vector<double> values, double share);

} // namespace ibislock::lab
