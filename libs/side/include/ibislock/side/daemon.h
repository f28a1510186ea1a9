// The daemon that runs next to the engine on a target VM of the users' platform. It fetches announced weights and loads
// them into the engine, serves pieces to other target VMs, and reports the engine's load to entry VMs.
//
//     SideDaemon daemon(loop, settings, options);
//     Result<void> started = daemon.start();

#pragma once

#include "ibislock/base/error.h"
#include "ibislock/platform/settings.h"

#include <asio/io_context.hpp>
#include <memory>

namespace ibislock::side
{

class Side;

/// Options of the command line.
struct SideOptions
{
    std::uint16_t metricsPort = 0; ///< 0 disables the metrics listener.
    /// Other VMs of the domain may be starting as well, so that this one waits for them before it reads the store.
    bool startsWithOthers = true;
};

/// The daemon of a target VM.
class SideDaemon
{
public:
    SideDaemon(asio::io_context &loop, platform::DaemonSettings settings, SideOptions options);
    ~SideDaemon();

    /// Opens the listeners and starts to follow the store and to poll the engine.
    /// @return nothing, or Unavailable if an address can't be opened.
    Result<void> start();

    /// Flushes the log and stops the event loop.
    void stop();

private:
    std::unique_ptr<Side> m_side;
};

} // namespace ibislock::side
