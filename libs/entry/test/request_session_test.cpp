// Requests whose target breaks off, with stand-ins for the target VMs.

#include "entry_fixture.h"

#include "ibislock/rpc/server.h"

#include <atomic>
#include <thread>

namespace ibislock::entry
{

namespace
{

using nlohmann::json;

constexpr Millis PollInterval{20};

/// A target VM that starts each request, breaks off without a response and confirms each withdrawal, as if it had
/// forgotten the request.
class ForgetfulTarget
{
public:
    /// @param onStart called for each request that it starts.
    ForgetfulTarget(node::NodeOptions options, std::function<void()> onStart)
        : m_client(m_loop, {})
        , m_node(std::move(options), m_counters, m_client)
        , m_server(m_loop, {}, handlers(std::move(onStart)))
    {
        m_node.setReportSource([](membership::Report &report) {
            report.phase = "serving";
            report.ticket = 1;
        });
        m_node.start(m_server.port());
    }

    ~ForgetfulTarget()
    {
        m_node.stop();
    }

    ForgetfulTarget(const ForgetfulTarget &) = delete;
    ForgetfulTarget &operator=(const ForgetfulTarget &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_server.port());
    }

private:
    rpc::Handlers handlers(std::function<void()> onStart)
    {
        rpc::Handlers out;
        m_node.addHandlers(out);
        out.submit = [onStart = std::move(onStart)](const requests::Request &,
                                                    const std::shared_ptr<rpc::AnswerWriter> &) {
            onStart();
        };
        out.revoke = [](const std::string &, std::uint64_t) {
            return true;
        };
        return out;
    }

    rpc::EventLoop m_loop;
    Counters m_counters;
    rpc::Client m_client;
    node::Node m_node;
    rpc::Server m_server;
};

class RequestSessionTest : public EntryTest
{
protected:
    RequestSessionTest()
    {
        m_options.routes["/desk"] = "desk";
        m_options.bootClock = [this] {
            return bootMillis() + Millis(m_suspendedMs);
        };
    }

    /// Starts the entry daemon and two targets.
    /// @param onStart called for each request that a target starts.
    void startWithTargets(const std::function<void()> &onStart)
    {
        start();
        m_list.set("entry1",
                   {.domain = "north", .address = "127.0.0.1:" + std::to_string(m_daemon->rpcPort()), .kind = "entry"});
        for (const char *vm : {"target1", "target2"}) {
            node::NodeOptions options = m_options.node;
            options.vm = vm;
            options.kind = membership::VmKind::Target;
            m_targets.push_back(std::make_unique<ForgetfulTarget>(options, onStart));
            m_list.set(vm, {.domain = "north", .address = m_targets.back()->address(), .kind = "target"});
        }
        waitUntilServing();
    }

    json post(const std::string &path)
    {
        httplib::Client client("127.0.0.1", m_daemon->callersPort());
        client.set_bearer_token_auth(CallerKey);
        const auto answer = client.Post(path, "reading", "text/plain");
        return answer ? json::parse(answer->body, nullptr, false) : json();
    }

    std::atomic<std::int64_t> m_suspendedMs = 0; ///< How long the entry VM was suspended.

private:
    void waitUntilServing()
    {
        const json scope{
            {"workspace", "*"}, {"role", "desk"}, {"model", "desk"}, {"version", "1"}, {"vms", {"target1", "target2"}}};
        const std::string ticket = json{{"number", 1}, {"scopes", json::array({scope})}}.dump();
        const Millis deadline = steadyMillis() + Patience;
        while (steadyMillis() < deadline) {
            const auto filed = administration(FileKey)->Post("/v1/tickets", ticket, "application/json");
            const json scopes = get("/v1/status")["scopes"];
            if (!scopes.empty() && scopes[0]["rollout"]["done"] == true) {
                return;
            }
            std::this_thread::sleep_for(PollInterval);
        }
        FAIL() << "the targets do not serve: " << get("/v1/status").dump();
    }

    std::vector<std::unique_ptr<ForgetfulTarget>> m_targets;
};

// The target remembers a run for a minute; when the entry VM resumes later, "not started" says nothing.
TEST_F(RequestSessionTest, NonIdempotentRequestDoesNotRunTwiceAfterSuspension)
{
    constexpr Millis LongerThanTargetsRemember{120000};
    std::atomic<int> runs = 0;
    startWithTargets([&] {
        ++runs;
        m_suspendedMs += LongerThanTargetsRemember.count();
    });
    EXPECT_EQ(post("/desk/x")["error"].value("code", ""), "unknown");
    EXPECT_EQ(runs, 1);
}

} // namespace

} // namespace ibislock::entry
