// The daemon of a target VM on the users' platform: it brings named weights to the engine beside it, gives pieces on to
// other target VMs, and tells entry VMs the engine's load.
//
//     SideDaemon daemon(loop, settings);
//     Result<void> started = daemon.start();

#pragma once

#include "ibislock/base/error.h"
#include "ibislock/platform/settings.h"

#include <asio/io_context.hpp>
#include <memory>

namespace ibislock::side
{

class Side;

/// What the command line adds to the settings.
struct SideOptions
{
    std::uint16_t metricsPort = 0; ///< 0 serves no metrics.
};

/// The daemon.
class SideDaemon
{
public:
    SideDaemon(asio::io_context &loop, platform::DaemonSettings settings, SideOptions options);
    ~SideDaemon();

    /// Opens the listeners and begins to follow the store and the engine.
    /// @return nothing, or what failed.
    Result<void> start();

    /// Stops the loop.
    void stop();

private:
    std::unique_ptr<Side> m_side;
};

} // namespace ibislock::side
