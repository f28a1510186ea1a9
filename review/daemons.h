// Starts the project's daemons as the deploy file does, with settings like those of a small deployment, and ends them.

#pragma once

#include "record.h"

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review
{

/// A daemon of a machine.
struct Daemon
{
    std::string role; ///< `front` or `side`.
    std::string ip;
    std::string zone;
    std::string engine; ///< IP:PORT of the runner on the machine of a side daemon.
    std::string service;
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    pid_t pid = -1;
};

/// Settings that all daemons share.
struct SharedSettings
{
    std::string store;
    std::uint16_t firstPort = 0;
    std::uint16_t lastPort = 0;
    std::string directory; ///< For settings and logs.
};

/// Starts a daemon from the repository's root.
void start(Daemon &daemon, const SharedSettings &shared);

/// Sends a signal to a daemon.
void signalTo(const Daemon &daemon, int number);

/// Kills a daemon and waits for its end.
void kill(Daemon &daemon);

/// Returns whether the process of a daemon has ended, and how, as text; empty while it runs.
std::string endOf(Daemon &daemon);

/// Returns the resident memory of a daemon in MB.
double residentMb(const Daemon &daemon);

/// Returns whether a front daemon answers its readiness check with 200.
bool isReady(const Daemon &daemon);

/// Waits until all front daemons are ready.
/// @return whether they are.
bool awaitReady(const std::vector<Daemon> &daemons, std::int64_t timeoutMs);

/// Returns loopback addresses of this run: 127.x.group.number.
std::string loopbackIp(int group, int number);

/// Returns whether the disruption is to be left out (TROUBLE=0).
bool withoutTrouble();

/// Returns the value of TROUBLE; empty if it isn't set.
std::string troubleMode();

} // namespace review
