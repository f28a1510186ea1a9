#include "experiments/vms.h"

#include "child_process.h"
#include "ibislock/net/http_client.h"
#include "platform/engine_stand_in.h"
#include "platform/store_stand_in.h"

#include <algorithm>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <tuple>

namespace ibislock::lab
{

namespace
{

/// Between two requests of the callers.
constexpr Millis RequestPause{10};

/// How long daemons may take to be ready, and a version to be everywhere.
constexpr Millis Patience{15000};

/// The contract's time for a version in this experiment; short, so that turns are soon over.
constexpr int VersionMs = 4000;

/// What the experiment is to do.
struct VmsOptions
{
    std::string program;
    std::string directory;
    int entries = 2;
    int targets = 4;
    Millis length{5000};
    bool kill = false;
};

/// What callers got.
struct Tally
{
    int sent = 0;
    int answered = 0;
    int refused = 0; ///< 503: not run.
    int unknown = 0; ///< Anything else, or no answer.
    int wrong = 0; ///< An answer to another request.
};

/// One VM: its address, its settings, its process.
struct VmProcess
{
    std::string ip;
    std::string kind;
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::unique_ptr<EngineStandIn> engine;
    std::unique_ptr<ChildProcess> process;
};

/// The whole deployment.
class VmsDeployment
{
public:
    VmsDeployment(asio::io_context &loop, VmsOptions options)
        : m_loop(loop)
        , m_options(std::move(options))
        , m_store(loop)
        , m_origin(loop, "127.0.3.1")
        , m_client(loop)
    {
        while (m_firstPeerPort == m_lastPeerPort) {
            std::tie(m_firstPeerPort, m_lastPeerPort) = std::minmax({freePort(), freePort()});
        }
    }

    /// Starts all processes.
    /// @return whether all entry VMs became ready.
    bool start()
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
                   {"Engine",
                    {{"Slots", 16}, {"step_ms", 1.0}, {"read_per_s", 20700.0}, {"Models", {{{"Name", "m"}}}}}}},
                  {{"Name", "o"}, {"Origin", m_origin.address()}}}}}
                .dump());
        for (VmProcess &vm : m_vms) {
            launch(vm);
        }
        return runUntil([&] { return readyEntries() == m_options.entries; });
    }

    /// Sends requests for the length of the experiment; names a version and kills an entry VM on the way.
    void play()
    {
        const Millis begin = steadyMillis();
        const Millis end = begin + m_options.length;
        bool named = false;
        bool killed = !m_options.kill;
        while (steadyMillis() < end) {
            request();
            m_loop.run_for(RequestPause);
            if (!named && steadyMillis() > begin + m_options.length / 5) {
                named = true;
                m_origin.weights.version = 2;
                m_store.append("version/m", R"({"Model":"m","Version":2})");
            }
            if (!killed && steadyMillis() > begin + m_options.length / 2) {
                killed = true;
                VmProcess &vm = m_vms.back();
                vm.process->kill();
                launch(vm);
            }
        }
        m_loop.run_for(std::chrono::milliseconds(1000));
    }

    /// Prints what came of it.
    /// @return whether all is as it should be.
    bool report()
    {
        const bool everywhere = runUntil([&] { return enginesWith(2) == m_options.targets; });
        bool spoilt = false;
        for (const VmProcess &vm : m_vms) {
            spoilt = spoilt || (vm.engine && vm.engine->loadedSpoilt);
        }
        const bool good = everywhere && !spoilt && m_tally.wrong == 0 && m_tally.answered > m_tally.sent * 8 / 10
            && (m_options.kill || m_tally.unknown == 0);
        std::cout << "version 2: " << enginesWith(2) << " of " << m_options.targets << " engines, "
                  << m_origin.piecesServed << " pieces from the origin, "
                  << (spoilt ? "spoilt pieces loaded" : "none spoilt") << "\nrequests: sent " << m_tally.sent
                  << ", answered " << m_tally.answered << ", refused " << m_tally.refused << ", unknown "
                  << m_tally.unknown << ", wrong " << m_tally.wrong << "\nvms: " << (good ? "ok" : "failed") << "\n";
        return good;
    }

private:
    void addTarget(int number, std::int64_t version)
    {
        VmProcess vm{.ip = "127.0.3." + std::to_string(number + 10), .kind = "side"};
        vm.engine = std::make_unique<EngineStandIn>(m_loop, vm.ip, 0);
        vm.engine->version = version;
        const WeightsStandIn weights{.version = version};
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
                                      {"Zone", number % 2 == 0 ? "a" : "b"},
                                      {"Version", "v1"},
                                      {"Slots", 16},
                                      {"State", "ready"},
                                      {"ColdLeftMs", 0},
                                      {"Sequence", 1},
                                      {"Models", models}}
                           .dump());
        m_vms.push_back(std::move(vm));
    }

    void launch(VmProcess &vm)
    {
        const std::string file = m_options.directory + "/" + vm.ip + ".ini";
        std::ofstream(file) << "[vm]\nname = " << vm.ip << "\nip = " << vm.ip << "\ndomain = a\nlink_mbps = 1000\n"
                            << "[callers]\naddress = " << addressOf(vm, vm.callers)
                            << "\nreadiness = " << addressOf(vm, vm.readiness)
                            << "\n[peers]\nfirst_port = " << m_firstPeerPort << "\nlast_port = " << m_lastPeerPort
                            << "\n[store]\naddress = 127.0.0.1:" << m_store.port()
                            << "\n[engine]\naddress = " << (vm.engine ? addressOf(vm, vm.engine->port()) : "")
                            << "\nservice = " << (vm.engine ? "s" : "") << "\n[contract]\nversion_ms = " << VersionMs
                            << "\nretry_allowance = 100\n";
        vm.process =
            std::make_unique<ChildProcess>(std::vector<std::string>{m_options.program, vm.kind, "--settings", file},
                                           m_options.directory + "/" + vm.ip + ".log");
    }

    static std::string addressOf(const VmProcess &vm, std::uint16_t port)
    {
        return port == 0 ? "" : vm.ip + ":" + std::to_string(port);
    }

    template <typename Holds>
    bool runUntil(Holds holds)
    {
        const Millis end = steadyMillis() + Patience;
        while (!holds() && steadyMillis() < end) {
            m_loop.run_for(std::chrono::milliseconds(20));
        }
        return holds();
    }

    int readyEntries()
    {
        for (VmProcess &vm : m_vms) {
            if (vm.engine) {
                continue;
            }
            m_client.call(vm.ip, vm.readiness, "GET /ibislock/ready HTTP/1.1\r\nHost: h\r\n\r\n",
                          {.timeout = Millis{500}},
                          [this, ip = vm.ip](net::ExchangeOutcome, const http::ResponseHead &head,
                                             const std::string &) { m_ready[ip] = head.status == 200; });
        }
        return static_cast<int>(
            std::count_if(m_ready.begin(), m_ready.end(), [](const auto &item) { return item.second; }));
    }

    int enginesWith(std::int64_t version) const
    {
        return static_cast<int>(std::count_if(m_vms.begin(), m_vms.end(), [&](const VmProcess &vm) {
            return vm.engine && vm.engine->version == version;
        }));
    }

    void request()
    {
        const std::string attempt = "a" + std::to_string(++m_tally.sent);
        const int entry = m_options.targets + m_tally.sent % m_options.entries;
        const VmProcess &vm = m_vms[static_cast<std::size_t>(entry)];
        http::RequestHead head{.method = "POST", .target = "/x"};
        head.headers.add("Host", "h");
        head.headers.add("X-Ibislock-Attempt-Id", attempt);
        head.headers.add("X-Ibislock-Deadline-Ms", "1000");
        m_client.call(
            vm.ip, vm.callers, writeRequest(head, "body"), {.timeout = Millis{2000}},
            [this, attempt](net::ExchangeOutcome end, const http::ResponseHead &answer, const std::string &body) {
                if (end == net::ExchangeOutcome::Complete && answer.status == 200) {
                    ++(body == "answer to " + attempt ? m_tally.answered : m_tally.wrong);
                } else {
                    ++(answer.status == 503 ? m_tally.refused : m_tally.unknown);
                }
            });
    }

    asio::io_context &m_loop;
    VmsOptions m_options;
    StoreStandIn m_store;
    OriginStandIn m_origin;
    net::HttpClient m_client;
    std::uint16_t m_firstPeerPort = 0;
    std::uint16_t m_lastPeerPort = 0;
    std::vector<VmProcess> m_vms; ///< Targets first.
    std::map<std::string, bool> m_ready;
    Tally m_tally;
};

} // namespace

int runVms(int argc, char **argv)
{
    cxxopts::Options options("ibislock-lab vms", "The daemons on the users' platform as processes, over stand-ins.");
    options.add_options()("ibislock", "the program", cxxopts::value<std::string>())(
        "directory", "where settings and logs go",
        cxxopts::value<std::string>())("entries", "entry VMs", cxxopts::value<int>()->default_value("2"))(
        "targets", "target VMs; the last one starts without weights", cxxopts::value<int>()->default_value("4"))(
        "seconds", "how long callers send", cxxopts::value<int>()->default_value("5"))(
        "kill", "kill an entry VM on the way and start it again")("help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0 || parsed.count("ibislock") == 0 || parsed.count("directory") == 0) {
        std::cout << options.help();
        return parsed.count("help") != 0 ? 0 : 2;
    }
    asio::io_context loop;
    VmsDeployment deployment(loop,
                             {.program = parsed["ibislock"].as<std::string>(),
                              .directory = parsed["directory"].as<std::string>(),
                              .entries = parsed["entries"].as<int>(),
                              .targets = parsed["targets"].as<int>(),
                              .length = Millis{parsed["seconds"].as<int>() * 1000},
                              .kill = parsed.count("kill") != 0});
    if (!deployment.start()) {
        std::cout << "vms: failed, an entry VM did not become ready\n";
        return 1;
    }
    deployment.play();
    return deployment.report() ? 0 : 1;
}

} // namespace ibislock::lab
