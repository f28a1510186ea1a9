// The target daemon, as a process, among connections that are opened and not used. Checked are only that it lives, that
// its descriptors stay under a bound, and that its metrics can be read.

#include "child_process.h"
#include "ibislock/net/http_client.h"
#include "limits/caller_crowd.h"
#include "platform/engine_stand_in.h"
#include "platform/store_stand_in.h"
#include "process_usage.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace ibislock::lab
{

namespace
{

/// The most descriptors that the process may have open, and several times as many connections.
constexpr std::uint64_t DescriptorBound = 256;
constexpr unsigned ManyConnections = 700;

constexpr Millis WatchTime{3000};
constexpr Millis PatienceTime{60000};

// Guards against the descriptors of a target VM that are taken up by connections to its metrics port.
TEST(TargetLimitsTest, IdleConnectionsToTheMetricsPort)
{
    asio::io_context loop;
    StoreStandIn store(loop);
    EngineStandIn engine(loop, "127.0.0.1", 0);
    net::HttpClient client(loop);
    const std::uint16_t metrics = freePort();
    const std::uint16_t peers = freePort();
    std::string directory = (std::filesystem::temp_directory_path() / "ibislock-limits-XXXXXX").string();
    ASSERT_NE(mkdtemp(directory.data()), nullptr);
    const std::string file = directory + "/settings.ini";
    std::ofstream(file) << "[vm]\nname = target-1\nip = 127.0.0.1\ndomain = a\nlink_mbps = 1000\nmax_fds = "
                        << DescriptorBound << "\n[peers]\nfirst_port = " << peers << "\nlast_port = " << peers + 1
                        << "\n[store]\naddress = 127.0.0.1:" << store.port()
                        << "\n[engine]\naddress = 127.0.0.1:" << engine.port() << "\nservice = s\n";
    const ChildProcess daemon({IBISLOCK_BINARY, "side", "--settings", file, "--log-level", "warning", "--metrics-port",
                               std::to_string(metrics)},
                              directory + "/log");
    std::uint64_t mostDescriptors = 0;
    const auto readsMetrics = [&] {
        const Millis end = steadyMillis() + PatienceTime;
        int status = 0;
        while (status != 200 && steadyMillis() < end) {
            client.call("127.0.0.1", metrics, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
                        {.timeout = Millis{2000}, .newConnection = true},
                        [&](net::ExchangeOutcome, const http::ResponseHead &head, const std::string &) {
                            status = head.status;
                        });
            loop.run_for(std::chrono::milliseconds(100));
        }
        return status == 200;
    };
    ASSERT_TRUE(readsMetrics());
    {
        CallerCrowd crowd({{.connections = ManyConnections}}, metrics);
        crowd.start();
        const Millis from = steadyMillis();
        while (steadyMillis() - from < WatchTime) {
            loop.run_for(std::chrono::milliseconds(20));
            mostDescriptors = std::max(mostDescriptors, usageOf(daemon.pid()).descriptors);
        }
        EXPECT_TRUE(readsMetrics()) << "while the connections are there";
    }
    EXPECT_TRUE(daemon.isRunning());
    EXPECT_GT(mostDescriptors, 0U);
    EXPECT_LT(mostDescriptors, DescriptorBound);
    std::filesystem::remove_all(directory);
}

} // namespace

} // namespace ibislock::lab
