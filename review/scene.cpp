#include "scene.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

namespace review
{

namespace
{

constexpr std::int64_t ReadyMs = 15000;

const std::vector<std::string> Zones{"north-a", "south-a"};

} // namespace

nlohmann::json makeRoute(const std::string &path, const std::string &kind, const std::string &service,
                         std::int64_t timeoutMs, std::int64_t objectiveMs)
{
    return {{"Name", "r" + path},
            {"Host", Host},
            {"PathPrefix", path},
            {"Kind", kind},
            {"TimeoutMs", timeoutMs},
            {"TargetLatencyMs", objectiveMs},
            {"Priority", 1},
            {"Service", service},
            {"MaxAttempts", 2},
            {"Anonymous", false},
            {"Sticky", kind == "streaming"},
            {"ResumeStreams", kind == "streaming"},
            {"TargetGapMs", 400}};
}

Scene::Scene(std::string directory, const std::string &recordFile)
    : record(recordFile)
    , store(loopbackIp(0, 1))
    , origin(loopbackIp(0, 2), record, weights)
    , callers(record)
{
    std::signal(SIGPIPE, SIG_IGN);
    for (int n = 0; n < 4; ++n) {
        const std::string &zone = Zones[static_cast<std::size_t>(n) % Zones.size()];
        const std::string ip = loopbackIp(1, n + 1);
        engines.push_back(std::make_unique<Engine>(
            store, record, runs, RunnerOptions{.ip = ip, .zone = zone, .service = EngineService}, weights));
        daemons.push_back(
            {.role = "side", .ip = ip, .zone = zone, .engine = engines.back()->address(), .service = EngineService});
    }
    for (int n = 0; n < 2; ++n) {
        const std::string &zone = Zones[static_cast<std::size_t>(n)];
        desks.push_back(std::make_unique<PlainRunner>(
            store, record, runs,
            RunnerOptions{.ip = loopbackIp(2, n + 1), .zone = zone, .service = PlainService, .slots = 16}));
        const std::string ip = loopbackIp(3, n + 1);
        daemons.push_back(
            {.role = "front", .ip = ip, .zone = zone, .callers = freePort(ip), .readiness = freePort(ip)});
    }
    const auto ports = std::minmax({freePort(daemons.front().ip), freePort(daemons.front().ip)});
    shared = {.store = store.address(),
              .firstPort = ports.first,
              .lastPort = ports.second,
              .directory = std::move(directory)};
}

void Scene::fileState(std::int64_t version, const nlohmann::json &routes, const std::vector<std::string> &keys)
{
    const nlohmann::json engine{{"Slots", 16},
                                {"KvTokens", 317000},
                                {"Stride", 5},
                                {"step_ms", 9.27},
                                {"read_per_s", 20700.0},
                                {"layers", 16},
                                {"Chunks", weights.pieces},
                                {"ChunkBytes", weights.pieceBytes},
                                {"usual", {{"prompt", 979}, {"answer", 92}}},
                                {"Models", {{{"Name", weights.model}, {"pace", 1.0}, {"WarmupS", 0.3}}}}};
    nlohmann::json services{
        {{"Name", EngineService}, {"HealthPath", "/health"}, {"MaxConns", 284}, {"Engine", engine}},
        {{"Name", "weights"}, {"Origin", origin.address()}, {"LinkMbps", origin.linkMbps}, {"MaxConns", 48}},
        {{"Name", PlainService}, {"HealthPath", "/health"}, {"MaxConns", 110}}};
    for (const std::string &name : extraServices) {
        services.push_back({{"Name", name}, {"HealthPath", "/health"}, {"MaxConns", 110}});
    }
    const nlohmann::json state{
        {"Version", version},
        {"Routes", routes},
        {"Services", services},
        {"Tenants", {{{"Name", "tenant-a"}, {"ApiKeys", keys}, {"Priority", 1}}}},
        {"Limits",
         {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 5000}, {"IdleTimeoutMs", 20000}}}};
    const std::int64_t offset = store.append("keyed.op", "config", state.dump());
    record.say("the operator writes version " + std::to_string(version) + " of the desired state, confirmed at offset "
               + std::to_string(offset));
}

bool Scene::startAll()
{
    for (const auto &runner : engines) {
        runner->start();
    }
    for (const auto &runner : desks) {
        runner->start();
    }
    for (Daemon &daemon : daemons) {
        start(daemon, shared);
    }
    if (!awaitReady(daemons, ReadyMs)) {
        record.say("the front daemons aren't ready");
        return false;
    }
    return true;
}

std::vector<Daemon *> Scene::fronts()
{
    std::vector<Daemon *> out;
    for (Daemon &daemon : daemons) {
        if (daemon.role == "front") {
            out.push_back(&daemon);
        }
    }
    return out;
}

void Scene::finish(int verdict)
{
    for (Daemon &daemon : daemons) {
        const std::string ended = endOf(daemon);
        if (!ended.empty()) {
            record.say("the daemon " + daemon.ip + " has ended by itself: " + ended);
        }
        kill(daemon);
    }
    std::_Exit(verdict); // The threads of the stand-ins still use the scene.
}

} // namespace review
