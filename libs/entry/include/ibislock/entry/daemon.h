// The daemon of an entry VM: callers' HTTP interface and operators' administration interface.
//
//     Daemon daemon(options);
//     daemon.start();
//     daemon.callersPort();
//     daemon.stop();

#pragma once

#include "ibislock/base/counters.h"
#include "ibislock/entry/options.h"

#include <memory>

namespace ibislock::entry
{

/// An entry daemon. Several may run in one process.
class Daemon
{
public:
    explicit Daemon(EntryOptions options);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Starts to listen and to follow the log.
    /// @return nothing, or Unavailable when a port is taken.
    Result<void> start();

    /// Refuses new requests, finishes those in progress, and stops.
    void stop();

    /// Ends without finishing anything, as a crash would; for experiments.
    void kill();

    /// Gives the port of the callers' interface.
    std::uint16_t callersPort() const;

    /// Gives the port of the administration interface.
    std::uint16_t administrationPort() const;

    /// Gives the port at which the daemon accepts RPC.
    std::uint16_t rpcPort() const;

    /// Cuts this daemon off from the addresses for which a predicate is false; for experiments.
    void setReachable(rpc::Reachable reachable);

    /// Gives the folded configuration.
    node::StatePointer state() const;

    /// Gives the daemon's counters.
    const Counters &counters() const;

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace ibislock::entry
