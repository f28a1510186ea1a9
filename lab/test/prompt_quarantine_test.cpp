// Entry VMs that share what they know of prompts that crash engines, through the daemons of target VMs.

#include "ibislock/front/daemon.h"
#include "ibislock/net/http_client.h"
#include "ibislock/side/daemon.h"
#include "platform/engine_stand_in.h"
#include "platform/store_stand_in.h"
#include "platform/target_stand_in.h"

#include <gtest/gtest.h>

namespace ibislock
{

namespace
{

/// A streaming route to engines.
const std::string State =
    R"({"Version":1,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/r/","Kind":"streaming","TimeoutMs":6000,"Service":"s",)"
    R"("MaxAttempts":2,"ResumeStreams":true,"Anonymous":true}],"Services":[{"Name":"s","HealthPath":"/health","MaxConns":100,)"
    R"("Engine":{"Slots":16,"Models":[{"Name":"m","WarmupS":0.3}],"step_ms":9.27,"read_per_s":20700}}]})";

constexpr Millis StartTime{2500};

/// Time between two requests; crashes at the same moment have one cause as a rule.
constexpr Millis Pause{200};

/// Crashes after which the part must be known, and requests that may still be sent then, by all entry VMs together.
constexpr int CrashesUntilKnown = 5;
constexpr int SendsAfterwards = 3;

/// Crashes after which a request that crashes engines by itself must be known.
constexpr int CrashesUntilRequestIsKnown = 3;

/// A target VM: requests reach one stand-in, and the daemon asks another one for the load.
struct TargetVm
{
    TargetVm(asio::io_context &loop, const std::string &ip)
        : requests(loop, "i-" + ip, ip)
        , engine(loop, ip, 0)
    {
        requests.behaviour = lab::TargetBehaviour::StreamUnlessCrashing;
        requests.weightsVersion = 1;
        engine.version = 1;
    }

    lab::TargetStandIn requests;
    lab::EngineStandIn engine;
    std::unique_ptr<side::SideDaemon> daemon;
};

class PromptQuarantineTest : public testing::Test
{
protected:
    PromptQuarantineTest()
    {
        net::Listener probe(m_loop, [](const std::shared_ptr<net::Connection> &) {});
        EXPECT_FALSE(probe.open("127.0.6.1", 0));
        m_port = probe.port();
        probe.close();
        m_store.append("config", State);
    }

    platform::DaemonSettings settingsFor(const std::string &ip) const
    {
        platform::DaemonSettings out;
        out.vmName = "vm-" + ip;
        out.ip = ip;
        out.domain = "a";
        out.callers = {.ip = ip, .port = 0};
        out.readiness = {.ip = ip, .port = 0};
        out.firstPeerPort = m_port;
        out.lastPeerPort = static_cast<std::uint16_t>(m_port + 1);
        out.store = {.ip = "127.0.0.1", .port = m_store.port()};
        out.bounds.retryAllowance = 1000;
        return out;
    }

    void addTarget()
    {
        const std::string ip = "127.0.6." + std::to_string(1 + m_targets.size());
        auto &target = *m_targets.emplace_back(std::make_unique<TargetVm>(m_loop, ip));
        platform::DaemonSettings settings = settingsFor(ip);
        settings.engine = {.ip = ip, .port = target.engine.port()};
        settings.service = "s";
        settings.linkMbps = 1000;
        target.daemon = std::make_unique<side::SideDaemon>(m_loop, settings, side::SideOptions{});
        ASSERT_TRUE(target.daemon->start());
        m_store.append(target.requests.id, target.requests.listing("s"));
    }

    void addEntry()
    {
        const std::string ip = "127.0.6." + std::to_string(100 + m_entries.size());
        m_entryIps.push_back(ip);
        m_entries.push_back(std::make_unique<front::FrontDaemon>(
            m_loop, settingsFor(ip), front::FrontOptions{.randomSeed = m_entries.size() + 1}));
        ASSERT_TRUE(m_entries.back()->start());
    }

    /// @param body empty for one that no other request has.
    /// @return the status that a caller gets; 0 for none.
    int call(std::size_t entry, const std::string &parts, const std::string &body = "")
    {
        int status = 0;
        bool done = false;
        http::RequestHead head{.method = "POST", .target = "/r/x"};
        head.headers.add("Host", "h");
        head.headers.add("X-Ibislock-Attempt-Id", "attempt-" + std::to_string(++m_attempts));
        head.headers.add("X-Ibislock-Model", "m");
        head.headers.add("X-Ibislock-Token-Count", "100,100");
        head.headers.add("X-Ibislock-Prompt-Prefix", parts + ",f" + std::to_string(m_attempts) + ":50");
        const auto exchange =
            m_client.call(m_entryIps[entry], m_entries[entry]->callerPort(),
                          writeRequest(head, body.empty() ? "prompt " + std::to_string(m_attempts) : body), {},
                          [&](net::ExchangeOutcome, const http::ResponseHead &answer, const std::string &) {
                              status = answer.status;
                              done = true;
                          });
        const Millis end = steadyMillis() + Millis{2000};
        while (!done && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(20));
        }
        return status;
    }

    /// Lists the engines that have crashed as started anew.
    void restartCrashed()
    {
        for (const auto &target : m_targets) {
            lab::TargetStandIn &engine = target->requests;
            if (engine.startedAt != engine.crashes) {
                engine.startedAt = engine.crashes;
                m_store.append(engine.id, engine.listing("s"));
            }
        }
    }

    /// Takes the engines that have crashed out of service, as none can crash twice.
    void unlistCrashed()
    {
        for (const auto &target : m_targets) {
            if (target->requests.crashes > 0) {
                m_store.append(target->requests.id, target->requests.listing("s", /*leaving=*/true));
            }
        }
    }

    int crashes() const
    {
        int out = 0;
        for (const auto &target : m_targets) {
            out += target->requests.crashes;
        }
        return out;
    }

    asio::io_context m_loop;
    lab::StoreStandIn m_store{m_loop};
    net::HttpClient m_client{m_loop};
    std::uint16_t m_port = 0;
    std::vector<std::unique_ptr<TargetVm>> m_targets;
    std::vector<std::unique_ptr<front::FrontDaemon>> m_entries;
    std::vector<std::string> m_entryIps;
    int m_attempts = 0;
};

// Each entry VM that gets one request with such a part would send it, however many engines have crashed under others.
TEST_F(PromptQuarantineTest, PromptPartThatCrashesEnginesIsNotSentByAnyEntryVm)
{
    constexpr int TargetVms = 8;
    constexpr int EntryVms = 4;
    for (int n = 0; n < TargetVms; ++n) {
        addTarget();
    }
    for (int n = 0; n < EntryVms; ++n) {
        addEntry();
    }
    m_loop.run_for(StartTime);
    ASSERT_EQ(call(0, "1:40,2:100"), 200);
    for (int n = 0; n < 3 * EntryVms; ++n) {
        call(n % EntryVms, "1:40,bad:100");
        restartCrashed();
        m_loop.run_for(Pause);
    }
    EXPECT_LE(crashes(), CrashesUntilKnown + SendsAfterwards);
    for (std::size_t n = 0; n < EntryVms; ++n) {
        EXPECT_EQ(call(n, "1:40,bad:100"), 503) << n;
        EXPECT_EQ(call(n, "1:40,2:100"), 200) << n;
    }
}

// Each part of such a request's prompt is in sound requests as well, whose answers clear it at all entry VMs.
TEST_F(PromptQuarantineTest, RequestThatCrashesEnginesIsNotSentByAnyEntryVm)
{
    constexpr int TargetVms = 12;
    constexpr int EntryVms = 4;
    for (int n = 0; n < TargetVms; ++n) {
        addTarget();
    }
    for (int n = 0; n < EntryVms; ++n) {
        addEntry();
    }
    m_loop.run_for(StartTime);
    for (int n = 0; n < 3 * EntryVms; ++n) {
        call(n % EntryVms, "1:40,2:100", "deadly");
        unlistCrashed();
        EXPECT_EQ(call((n + 1) % EntryVms, "1:40,2:100", "sound " + std::to_string(n)), 200) << n;
        m_loop.run_for(Pause);
    }
    EXPECT_LE(crashes(), CrashesUntilRequestIsKnown + SendsAfterwards);
    for (std::size_t n = 0; n < EntryVms; ++n) {
        EXPECT_EQ(call(n, "1:40,2:100", "deadly"), 503) << n;
        EXPECT_EQ(call(n, "1:40,2:100", "sound"), 200) << n;
    }
}

} // namespace

} // namespace ibislock
