#include "child_process.h"

#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace ibislock::lab
{

namespace
{

constexpr unsigned FirstPort = 10000;
constexpr unsigned PortCount = 20000;
constexpr unsigned PortsPerProcess = 397;

bool canBind(unsigned short port)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool bound = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    close(fd);
    return bound;
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::vector<char *> argv;
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("can't start " + arguments[0]);
    }
}

ChildProcess::~ChildProcess()
{
    kill();
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{
}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    if (this != &other) {
        kill();
        m_pid = std::exchange(other.m_pid, -1);
    }
    return *this;
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

int ChildProcess::stop()
{
    signal(SIGTERM);
    return wait();
}

int ChildProcess::wait()
{
    int status = 0;
    if (m_pid > 0) {
        waitpid(m_pid, &status, 0);
        m_pid = -1;
    }
    return status;
}

void ChildProcess::kill()
{
    if (m_pid > 0) {
        signal(SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

bool ChildProcess::isRunning() const
{
    return m_pid > 0 && ::kill(m_pid, 0) == 0;
}

pid_t ChildProcess::pid() const
{
    return m_pid;
}

unsigned short freePort()
{
    // Ports of the ephemeral range would be taken by outgoing connections before the daemon listens.
    static std::atomic<unsigned> next = static_cast<unsigned>(getpid()) * PortsPerProcess;
    for (unsigned tries = 0; tries < PortCount; ++tries) {
        const auto port = static_cast<unsigned short>(FirstPort + next++ % PortCount);
        if (canBind(port)) {
            return port;
        }
    }
    throw std::runtime_error("no free port on loopback");
}

} // namespace ibislock::lab
