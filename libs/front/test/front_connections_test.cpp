// Kept connections of callers: which limits a request is read by, when an idle connection is closed, and whether a
// caller whose request is refused can read the refusal.

#include "front_fixture.h"

#include "ibislock/http/reader.h"
#include "platform/log_capture.h"

namespace ibislock::front
{

namespace
{

/// Longest wait for what must come.
constexpr Millis PatienceTime{5000};

/// Returns a desired state with limits, whose routes are "/often/" and one that only this version has.
std::string stateWith(int version, const std::string &limits)
{
    const auto route = [](const std::string &name) {
        return R"({"Name":")" + name + R"(","Host":"h","PathPrefix":"/)" + name
            + R"(/","Kind":"idempotent","TimeoutMs":700,"Service":"s","MaxAttempts":1})";
    };
    const std::string number = std::to_string(version);
    return R"({"Version":)" + number + R"(,"Limits":{)" + limits + R"(},"Routes":[)" + route("often") + ","
        + route("v" + number)
        + R"(],"Services":[{"Name":"s","HealthPath":"/health","MaxConns":100}],"Tenants":[{"Name":"w","ApiKeys":["key"]}]})";
}

/// A caller that sends any bytes on one connection, and sees how the connection ends.
class RawCaller
{
public:
    RawCaller(asio::io_context &loop, std::uint16_t port)
        : m_loop(loop)
        , m_socket(loop)
    {
        m_socket.connect({asio::ip::make_address_v4("127.0.0.1"), port});
        m_socket.non_blocking(true);
    }

    /// Sends bytes while the loop runs.
    /// @return whether the connection took all of them.
    bool send(std::string_view bytes)
    {
        const Millis end = steadyMillis() + PatienceTime;
        while (!bytes.empty() && steadyMillis() < end) {
            asio::error_code ec;
            bytes.remove_prefix(m_socket.write_some(asio::buffer(bytes.data(), bytes.size()), ec));
            if (ec && ec != asio::error::would_block) {
                return false;
            }
            if (!bytes.empty()) {
                m_loop.run_one_for(std::chrono::milliseconds(1));
            }
        }
        return bytes.empty();
    }

    /// Receives a response while the loop runs.
    /// @return its status; 0 if the connection ended or nothing came before it was complete.
    int receive()
    {
        http::MessageReader reader(http::MessageKind::Response, {});
        const Millis end = steadyMillis() + PatienceTime;
        while (!m_end && steadyMillis() < end) {
            const std::string bytes = receiveSome();
            if (!bytes.empty() && !reader.feed(bytes)) {
                return 0;
            }
            if (reader.complete()) {
                return reader.response().status;
            }
        }
        return 0;
    }

    /// Waits for the end of the connection while the loop runs.
    /// @return how it ended; no error if it didn't.
    asio::error_code receiveEnd()
    {
        const Millis end = steadyMillis() + PatienceTime;
        while (!m_end && steadyMillis() < end) {
            receiveSome();
        }
        return m_end;
    }

private:
    std::string receiveSome()
    {
        m_loop.run_one_for(std::chrono::milliseconds(5));
        std::array<char, 4096> buffer{};
        asio::error_code ec;
        const std::size_t n = m_socket.read_some(asio::buffer(buffer), ec);
        m_end = ec == asio::error::would_block ? asio::error_code() : ec;
        return {buffer.data(), n};
    }

    asio::io_context &m_loop;
    asio::ip::tcp::socket m_socket;
    asio::error_code m_end;
};

class FrontConnectionsTest : public FrontTest
{
protected:
    void startWith(const std::string &limits)
    {
        list(m_first);
        start(stateWith(1, limits));
    }

    /// Changes the limits and waits until the new state is in force.
    void changeLimits(const std::string &limits)
    {
        const std::string number = std::to_string(++m_version);
        m_store.append("config", stateWith(m_version, limits));
        const Millis end = steadyMillis() + PatienceTime;
        int status = 0;
        while (status != 200 && steadyMillis() < end) {
            status = call(request("/v" + number + "/x")).status;
            runFor(Millis{10});
        }
        ASSERT_EQ(status, 200);
    }

    RawCaller connect()
    {
        return {m_loop, m_daemon.callerPort()};
    }

    std::string requestOf(std::size_t bodyBytes)
    {
        return writeRequest(request("/often/x"), std::string(bodyBytes, 'b'));
    }

    int m_version = 1;
};

// The limits of the last request's end refused bodies that the state in force allowed.
TEST_F(FrontConnectionsTest, ARequestOnAKeptConnectionIsReadByTheLimitsOfItsBegin)
{
    startWith(R"("MaxBodyBytes":1000)");
    RawCaller caller = connect();
    ASSERT_TRUE(caller.send(requestOf(100)));
    ASSERT_EQ(caller.receive(), 200);
    changeLimits(R"("MaxBodyBytes":100000)");
    ASSERT_TRUE(caller.send(requestOf(30000)));
    EXPECT_EQ(caller.receive(), 200);
    changeLimits(R"("MaxBodyBytes":1000)");
    ASSERT_TRUE(caller.send(requestOf(2000)));
    EXPECT_EQ(caller.receive(), 413);
}

// A state that lowers the limits refused requests that callers were sending by the earlier ones.
TEST_F(FrontConnectionsTest, ARequestThatIsBeingReadKeepsItsLimits)
{
    startWith(R"("MaxBodyBytes":100000,"HeaderTimeoutMs":30000)");
    RawCaller caller = connect();
    RawCaller second = connect();
    const std::string message = requestOf(30000);
    const std::string secondMessage = requestOf(100);
    ASSERT_TRUE(caller.send(message.substr(0, 500)));
    ASSERT_TRUE(second.send(secondMessage.substr(0, 20)));
    runFor(Millis{50});
    changeLimits(R"("MaxBodyBytes":1000,"HeaderTimeoutMs":20)");
    runFor(Millis{200});
    ASSERT_TRUE(caller.send(message.substr(500)));
    EXPECT_EQ(caller.receive(), 200);
    ASSERT_TRUE(second.send(secondMessage.substr(20)));
    EXPECT_EQ(second.receive(), 200);
}

// A state that lowers the idle timeout closed connections that callers could use by the state they knew.
TEST_F(FrontConnectionsTest, ALoweredIdleTimeoutAppliesToConnectionsThatBecomeIdleLater)
{
    startWith(R"("IdleTimeoutMs":60000)");
    RawCaller caller = connect();
    RawCaller unused = connect();
    ASSERT_TRUE(caller.send(requestOf(100)));
    ASSERT_EQ(caller.receive(), 200);
    changeLimits(R"("IdleTimeoutMs":50)");
    runFor(Millis{300});
    ASSERT_TRUE(unused.send(requestOf(100)));
    EXPECT_EQ(unused.receive(), 200);
    ASSERT_TRUE(caller.send(requestOf(100)));
    EXPECT_EQ(caller.receive(), 200);
    EXPECT_EQ(caller.receiveEnd(), asio::error::eof);
}

// The timeout of the time at which a connection became idle must not shorten one that was raised since.
TEST_F(FrontConnectionsTest, ARaisedIdleTimeoutAppliesAtOnce)
{
    startWith(R"("IdleTimeoutMs":2000)");
    RawCaller caller = connect();
    ASSERT_TRUE(caller.send(requestOf(100)));
    ASSERT_EQ(caller.receive(), 200);
    changeLimits(R"("IdleTimeoutMs":60000)");
    runFor(Millis{2200});
    ASSERT_TRUE(caller.send(requestOf(100)));
    EXPECT_EQ(caller.receive(), 200);
}

// A late loop checked the idle timeout in front of the request that had arrived, and closed the connection.
TEST_F(FrontConnectionsTest, AConnectionWithAnUnreadRequestIsNotIdle)
{
    startWith(R"("IdleTimeoutMs":1000)");
    RawCaller caller = connect();
    ASSERT_TRUE(caller.send(requestOf(100)));
    ASSERT_EQ(caller.receive(), 200);
    const std::string message = requestOf(100);
    std::this_thread::sleep_for(Millis{1100});
    bool sent = false;
    asio::post(m_loop, [&] { sent = caller.send(message); }); // The check is due and queued behind this handler.
    EXPECT_EQ(caller.receive(), 200);
    EXPECT_TRUE(sent);
}

// The connection was closed at once, and what the caller still sent made that a reset that may discard the refusal.
TEST_F(FrontConnectionsTest, ARefusalReachesACallerThatIsStillSending)
{
    startWith(R"("MaxBodyBytes":1000)");
    RawCaller caller = connect();
    const std::string message = requestOf(400000);
    bool sent = true;
    for (std::size_t at = 0; at < message.size() && sent; at += 10000) {
        sent = caller.send(message.substr(at, 10000));
        runFor(Millis{5});
    }
    EXPECT_TRUE(sent);
    EXPECT_EQ(caller.receive(), 413);
    EXPECT_EQ(caller.receiveEnd(), asio::error::eof);
}

// The rest of a refused message must not run as a request of its own.
TEST_F(FrontConnectionsTest, WhatFollowsARefusedRequestIsNotRun)
{
    startWith(R"("MaxBodyBytes":1000)");
    RawCaller caller = connect();
    const std::string behind = requestOf(10);
    EXPECT_TRUE(caller.send(requestOf(2000) + behind));
    runFor(Millis{30});
    EXPECT_TRUE(caller.send(behind));
    EXPECT_EQ(caller.receive(), 413);
    EXPECT_EQ(caller.receiveEnd(), asio::error::eof);
    runFor(Millis{30});
    EXPECT_EQ(runs(), 0U);
}

// A caller that keeps its side open behind a refusal must not hold a process that stops.
TEST_F(FrontConnectionsTest, ARefusedCallerThatStaysDoesNotHoldADrainingProcess)
{
    startWith(R"("MaxBodyBytes":1000)");
    RawCaller caller = connect();
    EXPECT_TRUE(caller.send(requestOf(2000)));
    EXPECT_EQ(caller.receive(), 413);
    m_daemon.stop();
    lab::LogCapture log;
    runFor(2 * PatienceTime); // The loop is stopped at the end of the drain.
    const std::vector<std::string> lines = log.take("The entry daemon has stopped.");
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_TRUE(lab::hasField(lines.front(), "busy", "0")) << lines.front();
}

} // namespace

} // namespace ibislock::front
