// The daemon of an entry VM on the users' platform: one event loop that takes callers' requests, sends each to a target
// and hands the answer back.
//
//     FrontDaemon daemon(loop, settings, {.metricsPort = 9464});
//     Result<void> started = daemon.start();
//     loop.run();   // ends after a stop

#pragma once

#include "ibislock/base/error.h"
#include "ibislock/platform/settings.h"

#include <asio/io_context.hpp>
#include <memory>

namespace ibislock::front
{

/// What the command line adds to the settings.
struct FrontOptions
{
    std::uint16_t metricsPort = 0; ///< 0 serves no metrics.
};

class Front;

/// The daemon.
class FrontDaemon
{
public:
    FrontDaemon(asio::io_context &loop, platform::DaemonSettings settings, FrontOptions options);
    ~FrontDaemon();

    /// Opens the listeners and begins to follow the store.
    /// @return nothing, or which listener failed.
    Result<void> start();

    /// Stops in order: no new callers, running requests end, then the loop is stopped.
    void stop();

    /// The port that callers use; for tests that let the system choose it.
    std::uint16_t callerPort() const;

private:
    std::unique_ptr<Front> m_front;
};

} // namespace ibislock::front
