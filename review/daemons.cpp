#include "daemons.h"

#include "http.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr const char *Program = "target/app/ibislock";
constexpr std::uint16_t MetricsPort = 9464;

/// Binds an address, which stays bound if that succeeds.
bool isFree(const std::string &ip, std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0) {
        return true;
    }
    close(fd);
    return false;
}

std::string portOn(const std::string &ip, std::uint16_t port)
{
    return port == 0 ? std::string() : ip + ":" + std::to_string(port);
}

/// Chooses the second number of the addresses of this run, and keeps it by an open socket.
int takeNetwork()
{
    std::mt19937 random(std::random_device{}());
    while (true) {
        const int network = 20 + static_cast<int>(random() % 200);
        if (isFree("127." + std::to_string(network) + ".0.250", MetricsPort)) {
            return network;
        }
    }
}

} // namespace

void start(Daemon &daemon, const SharedSettings &shared)
{
    const std::string file = shared.directory + "/" + daemon.ip + ".ini";
    // As deploy/settings.ini.template is filled in on the users' platform.
    std::ofstream(file) << "[vm]\nname = " << daemon.role << "-" << daemon.ip << "\nip = " << daemon.ip
                        << "\ndomain = " << daemon.zone << "\nregion = " << daemon.zone << "-region"
                        << "\nlink_mbps = " << (daemon.role == "front" ? "1000.0" : "7.6")
                        << "\n[callers]\naddress = " << portOn(daemon.ip, daemon.callers)
                        << "\nreadiness = " << portOn(daemon.ip, daemon.readiness)
                        << "\n[peers]\nfirst_port = " << shared.firstPort << "\nlast_port = " << shared.lastPort
                        << "\n[store]\naddress = " << shared.store << "\n[engine]\naddress = " << daemon.engine
                        << "\nservice = " << daemon.service
                        << "\n[contract]\ndrain_ms = 2000\nstop_s = 8\nstate_ms = 2000\nversion_ms = 8000\n"
                        << "retry_ratio = 0.2\nretry_window_s = 10\nretry_allowance = 100\nheartbeat_ms = 1200\n";
    const std::string log = shared.directory + "/" + daemon.ip + ".log";
    const std::string boot = "IBISLOCK_BOOT=" + file;
    daemon.pid = fork();
    if (daemon.pid != 0) {
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    const char *arguments[] = {Program, daemon.role.c_str(), "--metrics-port", "9464", nullptr};
    const char *environment[] = {boot.c_str(), nullptr};
    execve(Program, const_cast<char **>(arguments), const_cast<char **>(environment));
    _exit(127);
}

void signalTo(const Daemon &daemon, int number)
{
    if (daemon.pid > 0) {
        ::kill(daemon.pid, number);
    }
}

void kill(Daemon &daemon)
{
    if (daemon.pid > 0) {
        ::kill(daemon.pid, SIGKILL);
        waitpid(daemon.pid, nullptr, 0);
        daemon.pid = -1;
    }
}

std::string endOf(Daemon &daemon)
{
    int status = 0;
    if (daemon.pid <= 0 || waitpid(daemon.pid, &status, WNOHANG) != daemon.pid) {
        return {};
    }
    daemon.pid = -1;
    return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit code " + std::to_string(WEXITSTATUS(status));
}

double residentMb(const Daemon &daemon)
{
    std::ifstream file("/proc/" + std::to_string(daemon.pid) + "/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

bool isReady(const Daemon &daemon)
{
    const int fd = Channel::connectTo(daemon.ip, daemon.readiness, 500);
    if (fd < 0) {
        return false;
    }
    Channel channel(fd);
    channel.write("GET /ibislock/ready HTTP/1.1\r\nHost: " + daemon.ip + "\r\nConnection: close\r\n\r\n");
    const auto answer = channel.read(500);
    return answer && answer->status() == 200;
}

bool awaitReady(const std::vector<Daemon> &daemons, std::int64_t timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    for (const Daemon &daemon : daemons) {
        while (daemon.role == "front" && !isReady(daemon)) {
            if (nowMs() > until) {
                return false;
            }
            sleepMs(100);
        }
    }
    return true;
}

std::string loopbackIp(int group, int number)
{
    static const int network = takeNetwork();
    return "127." + std::to_string(network) + "." + std::to_string(group) + "." + std::to_string(number);
}

std::string troubleMode()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr ? std::string() : std::string(value);
}

bool withoutTrouble()
{
    return troubleMode() == "0";
}

} // namespace review
