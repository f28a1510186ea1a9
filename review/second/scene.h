// A small deployment: one process of the entry daemon, started with the command of the deploy file, over stand-ins of
// the store and of a runner, and callers with kept connections.

#pragma once

#include "../../lab/child_process.h"
#include "caller.h"
#include "runner.h"

#include <memory>

namespace ibislock::review
{

/// Where a case finds its files, and whether it makes trouble.
struct SceneOptions
{
    std::string program; ///< The `ibislock` binary.
    std::string directory; ///< For settings and logs; temporary.
    std::string record; ///< The file of the record.
    bool trouble = true;
};

/// Reads the command line of a case, `PROGRAM DIRECTORY RECORD`, and the variable TROUBLE.
SceneOptions sceneOptions(int argc, char **argv);

/// Returns two free ports for the traffic between daemons, the lower one first.
std::pair<std::uint16_t, std::uint16_t> peerPorts();

/// The exit status of a case.
enum ExitStatus { Held = 0, Broken = 1, NotRun = 2 };

/// From SIGTERM to SIGKILL, `GracePeriodS`.
inline constexpr Millis GracePeriod{8000};

/// The deployment.
class Scene
{
public:
    explicit Scene(const SceneOptions &options);

    /// Starts the daemon.
    /// @return whether it serves a request within some seconds.
    bool start();

    /// Adds a caller and lets it send a first request, which leaves it with a kept connection.
    Caller *addCaller(const std::string &name);

    void runFor(Millis time);

    /// Runs the loop until something holds, at most for some time.
    template <typename Holds>
    bool runUntil(Holds holds, Millis limit)
    {
        const Millis end = steadyMillis() + limit;
        while (!holds() && steadyMillis() < end) {
            m_loop.run_for(std::chrono::milliseconds(5));
        }
        return holds();
    }

    /// Sends SIGHUP to the daemon, as after a change of its settings file.
    void reload();

    /// Sends SIGTERM to the daemon.
    void terminate();

    /// Waits for the end of the daemon, and sends SIGKILL at the end of its grace period.
    void awaitEnd();

    /// Since SIGTERM.
    Millis sinceTerm() const;

    Record record;

private:
    void noteEnd();

    SceneOptions m_options;
    asio::io_context m_loop;
    Store m_store;

public:
    Runner runner;

private:
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::unique_ptr<lab::ChildProcess> m_front;
    std::uint16_t m_callerPort = 0;
    Millis m_termAt{0};
};

} // namespace ibislock::review
