// Product processes that the lab starts and ends.

#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace ibislock::lab
{

/// A process that ends with this object.
class ChildProcess
{
public:
    /// @param arguments the program and its arguments.
    /// @param logFile where its output goes.
    ChildProcess(const std::vector<std::string> &arguments, const std::string &logFile);
    ~ChildProcess();

    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Sends a signal.
    void signal(int number) const;

    /// Sends SIGTERM and waits for the end.
    /// @return the exit status as waitpid gives it.
    int stop();

    /// Waits for the end of a process that ends by itself.
    /// @return the exit status as waitpid gives it.
    int wait();

    /// Sends SIGKILL and waits for the end.
    void kill();

    bool isRunning() const;

    /// Gives the process's id; -1 after its end.
    pid_t pid() const;

private:
    pid_t m_pid = -1;
};

/// Asks the system for a TCP port on loopback that is free now.
unsigned short freePort();

} // namespace ibislock::lab
