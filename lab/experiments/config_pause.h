// An entry daemon as a process of its own, which an experiment can pause and resume with signals.

#pragma once

#include "child_process.h"
#include "deployment.h"

#include <atomic>

namespace ibislock::lab
{

/// One more entry VM of a deployment's first failure domain.
class PausableEntry
{
public:
    /// @param binary the product's program.
    /// @param deployment the platform's stand-ins.
    PausableEntry(const std::string &binary, Deployment &deployment);
    ~PausableEntry();

    PausableEntry(const PausableEntry &) = delete;
    PausableEntry &operator=(const PausableEntry &) = delete;

    void pause();
    void resume();
    bool isPaused() const;

    /// Asks the daemon for the number of the last ticket that it has in force.
    std::optional<std::uint64_t> lastTicket() const;

    const std::string &vm() const;
    const std::string &administrationUrl() const;

private:
    std::string m_vm = "entry-pausable";
    std::string m_directory;
    std::string m_administrationUrl;
    std::atomic<bool> m_paused = false;
    std::optional<ChildProcess> m_process;
};

} // namespace ibislock::lab
