// The daemon of a target VM: the only one that gives its engine orders, and the only way to it.
//
//     Daemon daemon(options);
//     daemon.start();
//     daemon.rpcPort();
//     daemon.stop();

#pragma once

#include "ibislock/base/counters.h"
#include "ibislock/target/link.h"
#include "ibislock/target/options.h"

#include <memory>

namespace ibislock::target
{

/// A target daemon. Several may run in one process.
class Daemon
{
public:
    explicit Daemon(TargetOptions options);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Starts to listen, to follow the log and to bring its engine to the version that it is to serve.
    /// @return nothing, or what is wrong with the certificate.
    Result<void> start();

    /// Refuses new requests, finishes those in progress, and stops.
    void stop();

    /// Ends without finishing anything, as a crash would; for experiments.
    void kill();

    /// Gives the port at which the daemon accepts RPC.
    std::uint16_t rpcPort() const;

    /// Cuts this daemon off from the addresses for which a predicate is false; for experiments.
    void setReachable(rpc::Reachable reachable);

    /// Gives the folded configuration.
    node::StatePointer state() const;

    /// Gives the faults of this VM's link, for experiments.
    LinkFaults &linkFaults();

    /// Gives the bytes of weights that came from other failure domains.
    const ImportLedger &imports() const;

    /// Gives the number of the ticket that the VM serves under; zero while it serves nothing.
    std::uint64_t servedTicket() const;

    /// Gives the daemon's counters.
    const Counters &counters() const;

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace ibislock::target
