// The daemon of an entry VM: a reverse proxy with one event loop that accepts callers' requests, sends each to a target
// and forwards the response.
//
//     FrontDaemon daemon(loop, settings, {.metricsPort = 9464});
//     Result<void> started = daemon.start();
//     loop.run();   // returns after `stop` has completed

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/error.h"
#include "ibislock/platform/settings.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>

namespace ibislock::front
{

/// Options that don't come from the settings file.
struct FrontOptions
{
    std::uint16_t metricsPort = 0; ///< Port of the metrics endpoint; 0 disables it.
    std::optional<std::uint64_t> randomSeed; ///< Set in tests; otherwise the seed comes from the operating system.
    /// Timeout for connecting to a target. A round trip takes a few ms; the retransmission of a lost packet takes a
    /// second.
    Millis connectTimeout{400};
    /// Other VMs of the domain may be starting as well, so that this one waits for them before it reads the store.
    bool startsWithOthers = true;
};

class Front;

/// The daemon of an entry VM.
class FrontDaemon
{
public:
    FrontDaemon(asio::io_context &loop, platform::DaemonSettings settings, FrontOptions options);
    ~FrontDaemon();

    /// Opens the listeners and starts to follow the platform's store.
    /// @return nothing, or Unavailable with the listener that failed.
    Result<void> start();

    /// Starts a graceful shutdown: readiness fails so that no new callers arrive, running requests finish, then the
    /// loop is stopped.
    void stop();

    /// Returns the port for callers, which tests let the system choose.
    std::uint16_t callerPort() const;

private:
    std::unique_ptr<Front> m_front;
};

} // namespace ibislock::front
