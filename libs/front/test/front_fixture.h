// Fixture of the entry daemon's tests: a daemon with a store and two targets on loopback, and a caller.

#pragma once

#include "ibislock/front/daemon.h"
#include "ibislock/net/http_client.h"
#include "ibislock/platform/listings.h"
#include "platform/log_capture.h"
#include "platform/store_stand_in.h"
#include "platform/target_stand_in.h"

#include <asio/ip/udp.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace ibislock::front
{

using lab::TargetBehaviour;

/// Routes of each kind to one service of plain targets.
inline const std::string DesiredState =
    R"({"Version":1,"Routes":[)"
    R"({"Name":"once","Host":"h","PathPrefix":"/once/","Kind":"non_idempotent","TimeoutMs":700,"Service":"s","MaxAttempts":1},)"
    R"({"Name":"often","Host":"h","PathPrefix":"/often/","Kind":"idempotent","TimeoutMs":700,"TargetLatencyMs":50,"Service":"s","MaxAttempts":2},)"
    R"({"Name":"events","Host":"h","PathPrefix":"/events/","Kind":"streaming","TimeoutMs":2000,"Service":"s",)"
    R"("MaxAttempts":2,"ResumeStreams":true},)"
    R"({"Name":"fixed","Host":"h","PathPrefix":"/fixed/","Kind":"streaming","TimeoutMs":700,"Service":"s","MaxAttempts":2},)"
    R"({"Name":"open","Host":"h","PathPrefix":"/open/","Kind":"idempotent","TimeoutMs":700,"Service":"s","MaxAttempts":1,)"
    R"("Anonymous":true},)"
    R"({"Name":"nobody","Host":"h","PathPrefix":"/nobody/","Kind":"idempotent","TimeoutMs":700,"Service":"none"}],)"
    R"("Services":[{"Name":"s","HealthPath":"/health","MaxConns":100}],"Tenants":[{"Name":"w","ApiKeys":["key"]}]})";

/// A streaming route to a service of engines.
inline const std::string EngineState =
    R"({"Version":1,"Routes":[{"Name":"events","Host":"h","PathPrefix":"/events/","Kind":"streaming","TimeoutMs":6000,)"
    R"("Service":"s","MaxAttempts":2,"ResumeStreams":true}],"Services":[{"Name":"s","HealthPath":"/health",)"
    R"("MaxConns":100,"Engine":{"Slots":16,"Models":[{"Name":"m","WarmupS":0.3}],"step_ms":9.27,"read_per_s":20700}}]})";

/// Grace period from the announcement of weights until no request may start on older ones.
inline constexpr Millis VersionTime{3000};

/// Seed by which the daemon chooses between equal targets.
inline constexpr std::uint64_t RandomSeed = 1;

/// Returns the settings of an entry VM on loopback.
/// @param peerPort the port for load reports; 0 for any.
inline platform::DaemonSettings settingsFor(std::uint16_t storePort, std::uint16_t peerPort = 0)
{
    platform::DaemonSettings out;
    out.vmName = "entry-1";
    out.ip = "127.0.0.1";
    out.domain = "a";
    out.regions = {{"a", "north"}, {"b", "south"}};
    out.firstPeerPort = peerPort;
    out.callers = {.ip = "127.0.0.1", .port = 0};
    out.readiness = {.ip = "127.0.0.1", .port = 0};
    out.store = {.ip = "127.0.0.1", .port = storePort};
    out.bounds.retryAllowance = 1000;
    out.bounds.versionGracePeriod = VersionTime;
    return out;
}

/// Returns a UDP port that is free on loopback.
inline std::uint16_t freePort()
{
    asio::io_context loop;
    return asio::ip::udp::socket(loop, {asio::ip::make_address_v4("127.0.0.1"), 0}).local_endpoint().port();
}

/// The response that a caller received.
struct CallerAnswer
{
    int status = 0; ///< 0 for no response.
    bool whole = false;
    http::Headers headers;
    std::string body;
};

/// A call whose response is being received.
struct PendingCall
{
    CallerAnswer answer;
    bool done = false;
    std::shared_ptr<net::Exchange> exchange;
};

/// A stall of the event loop during a call.
struct Stall
{
    int handlers = 0; ///< Number of handlers that run before the stall.
    Millis time{0};
};

/// A daemon with a store and two targets.
class FrontTest : public testing::Test
{
protected:
    explicit FrontTest(std::uint16_t peerPort = 0,
                       const FrontOptions &options = {.randomSeed = RandomSeed, .startsWithOthers = false})
        : m_peerPort(peerPort)
        , m_daemon(m_loop, settingsFor(m_store.port(), peerPort), options)
    {
    }

    void start(const std::string &state = DesiredState)
    {
        if (!state.empty()) {
            m_store.append("config", state);
        }
        ASSERT_TRUE(m_daemon.start());
        runFor(Millis{60});
    }

    /// Writes a target's listing. The store stand-in has one topic, so the same reads return listings and the state.
    void list(const lab::TargetStandIn &target, bool leaving = false)
    {
        m_store.append(target.id, target.listing("s", leaving));
    }

    /// Removes a target's listing.
    void unlist(const lab::TargetStandIn &target)
    {
        m_store.append(target.id, "");
    }

    /// Writes a target's listing and waits until the daemon has read it.
    void listAndWait(const lab::TargetStandIn &target)
    {
        const int before = timesRead(target);
        list(target);
        waitUntilRead(target, before + 1);
    }

    /// Waits until the daemon has read the listing of a target, which takes longer than the interval of its reads.
    /// @param times how often it has then read listings of the target since its start.
    void waitUntilRead(const lab::TargetStandIn &target, int times = 1)
    {
        const Millis end = steadyMillis() + Millis{5000};
        while (timesRead(target) < times && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(20));
        }
        EXPECT_GE(timesRead(target), times);
        runFor(Millis{20}); // The response is under way.
    }

    int timesRead(const lab::TargetStandIn &target)
    {
        return m_store.recordsSent[{std::string(platform::TargetsTopic), target.id}];
    }

    /// Writes the listing of a target at whose address nothing listens.
    void listGone(const std::string &id)
    {
        const lab::TargetStandIn gone(m_loop, id);
        m_store.append(id, gone.listing("s"));
    }

    void runFor(Millis time)
    {
        m_loop.run_for(time);
    }

    /// Runs the daemon until it writes a line to the log.
    bool waitForLine(const std::string &sentence)
    {
        for (const Millis end = steadyMillis() + Millis{5000}; steadyMillis() < end;) {
            lab::LogCapture log;
            runFor(Millis{50});
            if (!log.take(sentence).empty()) {
                return true;
            }
        }
        return false;
    }

    http::RequestHead request(const std::string &path, const std::string &key = "key")
    {
        http::RequestHead head{.method = "POST", .target = path};
        head.headers.add("Host", "h");
        head.headers.add("X-Ibislock-Attempt-Id", "attempt-" + std::to_string(++m_attempts));
        head.headers.add("X-Ibislock-Deadline-Ms", "1000");
        if (!key.empty()) {
            head.headers.add("X-Api-Key", key);
        }
        return head;
    }

    /// Sends a request; the response is received while the loop runs.
    std::shared_ptr<PendingCall> begin(const http::RequestHead &head, const std::string &body = "body")
    {
        auto out = std::make_shared<PendingCall>();
        out->exchange = m_client.send("127.0.0.1", m_daemon.callerPort(), writeRequest(head, body), {},
                                      {.head =
                                           [out](const http::ResponseHead &answer) {
                                               out->answer.status = answer.status;
                                               out->answer.headers = answer.headers;
                                               return net::HeadDecision::Accept;
                                           },
                                       .body = [out](const std::string &part) { out->answer.body += part; },
                                       .end =
                                           [out](const net::ExchangeResult &result) {
                                               out->answer.whole = result.outcome == net::ExchangeOutcome::Complete;
                                               out->done = true;
                                           }});
        return out;
    }

    CallerAnswer call(const http::RequestHead &head, const std::string &body = "body", const Stall &stall = {})
    {
        const auto pending = begin(head, body);
        for (int n = 0; n < stall.handlers; ++n) {
            m_loop.run_one_for(std::chrono::milliseconds(20));
        }
        std::this_thread::sleep_for(stall.time);
        const Millis end = steadyMillis() + Millis{5000};
        while (!pending->done && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(20));
        }
        EXPECT_TRUE(pending->done);
        return pending->answer;
    }

    std::size_t runs() const
    {
        return m_first.requests.size() + m_second.requests.size();
    }

    asio::io_context m_loop;
    lab::StoreStandIn m_store{m_loop};
    lab::TargetStandIn m_first{m_loop, "i-1"};
    lab::TargetStandIn m_second{m_loop, "i-2"};
    net::HttpClient m_client{m_loop};
    std::uint16_t m_peerPort = 0; ///< The port on which the daemon receives load reports; 0 for any.
    FrontDaemon m_daemon;
    int m_attempts = 0;
};

} // namespace ibislock::front
