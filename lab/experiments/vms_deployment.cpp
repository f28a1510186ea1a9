#include "experiments/vms_deployment.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <tuple>

namespace ibislock::lab
{

namespace
{

std::string addressOf(const VmProcess &vm, std::uint16_t port)
{
    return port == 0 ? "" : vm.ip + ":" + std::to_string(port);
}

} // namespace

VmsDeployment::VmsDeployment(asio::io_context &loop, VmsOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_store(loop)
    , m_origin(loop, "127.0.3.1")
    , m_client(loop)
{
    while (m_firstPeerPort == m_lastPeerPort) {
        std::tie(m_firstPeerPort, m_lastPeerPort) = std::minmax({freePort(), freePort()});
    }
    m_origin.weights.pieces = m_options.pieces;
}

bool VmsDeployment::start()
{
    for (int n = 0; n < m_options.targets; ++n) {
        addTarget(n, n + 1 < m_options.targets ? 1 : 0); // The last one starts empty.
    }
    for (int n = 0; n < m_options.entries; ++n) {
        VmProcess vm{.ip = "127.0.4." + std::to_string(n + 1), .kind = "front"};
        vm.callers = freePort();
        vm.readiness = freePort();
        m_vms.push_back(std::move(vm));
    }
    m_store.append(
        "config",
        nlohmann::json{
            {"Version", 1},
            {"Routes",
             {{{"Name", "r"},
               {"Host", "h"},
               {"PathPrefix", "/"},
               {"Kind", "idempotent"},
               {"TimeoutMs", 1000},
               {"TargetLatencyMs", 400},
               {"Service", "s"},
               {"MaxAttempts", 2}}}},
            {"Services",
             {{{"Name", "s"},
               {"Engine", {{"Slots", 16}, {"step_ms", 1.0}, {"read_per_s", 20700.0}, {"Models", {{{"Name", "m"}}}}}}},
              {{"Name", "o"}, {"Origin", m_origin.address()}}}}}
            .dump());
    for (VmProcess &vm : m_vms) {
        launch(vm);
    }
    return runUntil([&] { return readyEntries() == m_options.entries; });
}

void VmsDeployment::announce(std::int64_t version)
{
    m_origin.weights.version = version;
    for (VmProcess &vm : m_vms) {
        if (vm.engine) {
            vm.engine->expected.version = version;
        }
    }
    m_store.append("version/m", nlohmann::json{{"Model", "m"}, {"Version", version}}.dump());
}

void VmsDeployment::addTarget(int number, std::int64_t version)
{
    VmProcess vm{.ip = "127.0.3." + std::to_string(number + 10), .kind = "side", .domain = number % 2 == 0 ? "a" : "b"};
    vm.engine = std::make_unique<EngineStandIn>(m_loop, vm.ip, 0);
    vm.engine->version = version;
    const WeightsStandIn weights{.version = version, .pieces = m_options.pieces};
    vm.engine->expected = weights;
    for (int piece = 0; version > 0 && piece < weights.pieces; ++piece) {
        vm.engine->staged[piece] = pieceBytes(weights, piece);
    }
    nlohmann::json models = nlohmann::json::array();
    if (version > 0) {
        models.push_back({{"Name", "m"}, {"Version", version}});
    }
    m_store.append("i-" + vm.ip,
                   nlohmann::json{{"Service", "s"},
                                  {"Address", vm.ip + ":" + std::to_string(vm.engine->port())},
                                  {"Zone", vm.domain},
                                  {"Version", "v1"},
                                  {"Slots", 16},
                                  {"State", "ready"},
                                  {"ColdLeftMs", 0},
                                  {"Sequence", 1},
                                  {"Models", models}}
                       .dump());
    m_vms.push_back(std::move(vm));
}

void VmsDeployment::launch(VmProcess &vm)
{
    const std::string file = m_options.directory + "/" + vm.ip + ".ini";
    std::ofstream(file) << "[vm]\nname = " << vm.ip << "\nip = " << vm.ip << "\ndomain = " << vm.domain
                        << "\nlink_mbps = 1000\n"
                        << "[callers]\naddress = " << addressOf(vm, vm.callers)
                        << "\nreadiness = " << addressOf(vm, vm.readiness)
                        << "\n[peers]\nfirst_port = " << m_firstPeerPort << "\nlast_port = " << m_lastPeerPort
                        << "\n[store]\naddress = 127.0.0.1:" << m_store.port()
                        << "\n[engine]\naddress = " << (vm.engine ? addressOf(vm, vm.engine->port()) : "")
                        << "\nservice = " << (vm.engine ? "s" : "")
                        << "\n[contract]\nversion_ms = " << m_options.versionTime.count()
                        << "\nretry_allowance = 100\n";
    vm.process =
        std::make_unique<ChildProcess>(std::vector<std::string>{m_options.program, vm.kind, "--settings", file},
                                       m_options.directory + "/" + vm.ip + ".log");
}

int VmsDeployment::readyEntries()
{
    for (VmProcess &vm : m_vms) {
        if (vm.engine) {
            continue;
        }
        m_client.call(vm.ip, vm.readiness, "GET /ibislock/ready HTTP/1.1\r\nHost: h\r\n\r\n", {.timeout = Millis{500}},
                      [this, ip = vm.ip](net::ExchangeOutcome, const http::ResponseHead &head, const std::string &) {
                          m_ready[ip] = head.status == 200;
                      });
    }
    return static_cast<int>(
        std::count_if(m_ready.begin(), m_ready.end(), [](const auto &item) { return item.second; }));
}

int VmsDeployment::enginesWith(std::int64_t version) const
{
    return static_cast<int>(std::count_if(
        m_vms.begin(), m_vms.end(), [&](const VmProcess &vm) { return vm.engine && vm.engine->version == version; }));
}

void VmsDeployment::request()
{
    const std::string attempt = "a" + std::to_string(++m_tally.sent);
    const int entry = m_options.targets + m_tally.sent % m_options.entries;
    const VmProcess &vm = m_vms[static_cast<std::size_t>(entry)];
    http::RequestHead head{.method = "POST", .target = "/x"};
    head.headers.add("Host", "h");
    head.headers.add("X-Ibislock-Attempt-Id", attempt);
    head.headers.add("X-Ibislock-Deadline-Ms", "1000");
    m_client.call(vm.ip, vm.callers, writeRequest(head, "body"), {.timeout = Millis{2000}},
                  [this, attempt](net::ExchangeOutcome end, const http::ResponseHead &answer, const std::string &body) {
                      if (end == net::ExchangeOutcome::Complete && answer.status == 200) {
                          ++(body == "answer to " + attempt ? m_tally.answered : m_tally.wrong);
                      } else {
                          ++(answer.status == 503 ? m_tally.refused : m_tally.unknown);
                      }
                  });
}

const Tally &VmsDeployment::tally() const
{
    return m_tally;
}

const OriginStandIn &VmsDeployment::origin() const
{
    return m_origin;
}

std::vector<VmProcess> &VmsDeployment::vms()
{
    return m_vms;
}

} // namespace ibislock::lab
