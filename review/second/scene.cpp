#include "scene.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sys/wait.h>

namespace ibislock::review
{

namespace
{

const std::string FrontIp = "127.0.40.1";
const std::string RunnerIp = "127.0.40.2";
const std::string StoreIp = "127.0.40.3";

/// How long the daemon may take to be ready.
constexpr Millis StartTime{10000};

/// Routes of one service of plain runners. The objectives and time limits are those of streams on the sheets.
const std::string DesiredState =
    R"({"Version":1,"Routes":[)"
    R"({"Name":"events","Host":"h","PathPrefix":"/events/","Kind":"streaming","TimeoutMs":6000,"TargetLatencyMs":500,)"
    R"("TargetGapMs":400,"Service":"s","MaxAttempts":2,"Priority":1,"ResumeStreams":true},)"
    R"({"Name":"often","Host":"h","PathPrefix":"/plain/","Kind":"idempotent","TimeoutMs":6000,"TargetLatencyMs":500,)"
    R"("Service":"s","MaxAttempts":2,"Priority":1}],)"
    R"("Services":[{"Name":"s","HealthPath":"/health","MaxConns":364}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":60000}})";

} // namespace

SceneOptions sceneOptions(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: " << argv[0] << " PROGRAM DIRECTORY RECORD\n";
        std::exit(NotRun);
    }
    const char *trouble = std::getenv("TROUBLE");
    return {.program = argv[1],
            .directory = argv[2],
            .record = argv[3],
            .trouble = trouble == nullptr || std::string(trouble) != "0"};
}

std::pair<std::uint16_t, std::uint16_t> peerPorts()
{
    const std::uint16_t one = lab::freePort();
    return std::minmax({one, static_cast<std::uint16_t>(lab::freePort())});
}

Scene::Scene(const SceneOptions &options)
    : record(options.record)
    , m_options(options)
    , m_store(m_loop, StoreIp)
    , runner(m_loop, m_store, record, "i-1", RunnerIp)
{
    record.write("case", options.trouble ? "with the disruption" : "without the disruption");
    m_store.append("keyed.op", "config", DesiredState);
}

bool Scene::start()
{
    m_callerPort = lab::freePort();
    const std::string settings = m_options.directory + "/front.ini";
    const auto [firstPort, lastPort] = peerPorts();
    std::ofstream(settings) << "[vm]\nname = front-a-1\nip = " << FrontIp
                            << "\ndomain = a\nregion = south\nlink_mbps = 1000\nmemory_mb = 260\nmax_fds = 4100\n"
                            << "[regions]\na = south\n[callers]\naddress = " << FrontIp << ":" << m_callerPort
                            << "\nreadiness = " << FrontIp << ":" << lab::freePort()
                            << "\n[peers]\nfirst_port = " << firstPort << "\nlast_port = " << lastPort
                            << "\n[store]\naddress = " << m_store.address()
                            << "\n[engine]\naddress =\nservice =\n[contract]\ndrain_ms = 2000\nstop_s = "
                            << GracePeriod.count() / 1000
                            << "\nstate_ms = 2000\nversion_ms = 8000\nretry_ratio = 0.2\nretry_window_s = 10\n"
                               "retry_allowance = 104\nheartbeat_ms = 1200\n";
    setenv("IBISLOCK_BOOT", settings.c_str(), 1);
    m_front = std::make_unique<lab::ChildProcess>(
        std::vector<std::string>{m_options.program, "front", "--metrics-port", "9464"},
        m_options.directory + "/front.log");
    record.write("case", "starts the entry daemon");
    runFor(Millis{500});
    const Millis end = steadyMillis() + StartTime;
    while (steadyMillis() < end) {
        Caller first(m_loop, record, {.name = "first", .ip = FrontIp, .port = m_callerPort});
        first.send("/plain/10/", Millis{1000}, 0);
        if (runUntil([&] { return first.isDone(); }, Millis{1500}) && first.request().status == 200) {
            return true;
        }
        runFor(Millis{300});
    }
    return false;
}

Caller *Scene::addCaller(const std::string &name)
{
    m_callers.push_back(
        std::make_unique<Caller>(m_loop, record, CallerOptions{.name = name, .ip = FrontIp, .port = m_callerPort}));
    Caller *caller = m_callers.back().get();
    caller->send("/plain/10/", Millis{1000}, 0);
    runUntil([&] { return caller->isDone(); }, Millis{1500});
    return caller;
}

void Scene::runFor(Millis time)
{
    runUntil([] { return false; }, time);
}

void Scene::reload()
{
    record.write("case", "sends SIGHUP to the entry daemon");
    m_front->signal(SIGHUP);
}

void Scene::terminate()
{
    m_termAt = steadyMillis();
    record.write("case", "sends SIGTERM to the entry daemon");
    m_front->signal(SIGTERM);
}

Millis Scene::sinceTerm() const
{
    return steadyMillis() - m_termAt;
}

void Scene::awaitEnd()
{
    const auto ended = [this] {
        siginfo_t info{};
        return waitid(P_PID, static_cast<id_t>(m_front->pid()), &info, WEXITED | WNOHANG | WNOWAIT) == 0
            && info.si_pid != 0;
    };
    const bool inTime = runUntil(ended, GracePeriod - sinceTerm());
    record.write("case",
                 inTime ? "the entry daemon has ended by itself, " + std::to_string(sinceTerm().count())
                         + " ms after SIGTERM"
                        : "sends SIGKILL at the end of the grace period");
    m_front->kill();
    runFor(Millis{500}); // What was sent before still arrives.
}

} // namespace ibislock::review
