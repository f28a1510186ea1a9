#include "ibislock/net/http_client.h"

#include <gtest/gtest.h>

#include <optional>
#include <thread>

namespace ibislock::net
{

namespace
{

/// A server on loopback that responds to each request with the next bytes of a script.
class ScriptedServer
{
public:
    ScriptedServer(asio::io_context &loop, std::vector<std::string> script, bool closeAfter)
        : m_script(std::move(script))
        , m_closeAfter(closeAfter)
        , m_listener(loop, [this](const std::shared_ptr<Connection> &connection) { serve(connection); })
    {
        EXPECT_FALSE(m_listener.open("127.0.0.1", 0));
    }

    std::uint16_t port() const
    {
        return m_listener.port();
    }

    /// Writes bytes to all connections.
    void writeToAll(std::string_view bytes)
    {
        for (const auto &connection : m_connections) {
            connection->write(bytes);
        }
    }

    int connections = 0;
    int open = 0;
    int requests = 0; ///< Number of received blocks of bytes.

private:
    void serve(const std::shared_ptr<Connection> &connection)
    {
        ++connections;
        ++open;
        m_connections.push_back(connection);
        connection->start({
            .data =
                [this, raw = connection.get()](std::string_view) {
                    ++requests;
                    raw->write(m_next < m_script.size() ? m_script[m_next++] : "");
                    if (m_closeAfter) {
                        raw->closeAfterWrites();
                    }
                },
            .closed = [this](CloseReason) { --open; },
        });
    }

    std::vector<std::string> m_script;
    bool m_closeAfter;
    std::size_t m_next = 0;
    std::vector<std::shared_ptr<Connection>> m_connections;
    Listener m_listener;
};

/// The result of one call.
struct Outcome
{
    bool done = false;
    ExchangeOutcome end = ExchangeOutcome::Complete;
    std::string body;
};

Outcome callOnce(asio::io_context &loop, HttpClient &client, std::uint16_t port, const ExchangeOptions &options = {})
{
    Outcome out;
    const auto exchange = client.call("127.0.0.1", port, "GET / HTTP/1.1\r\n\r\n", options,
                                      [&](ExchangeOutcome end, const http::ResponseHead &, std::string body) {
                                          out = {.done = true, .end = end, .body = std::move(body)};
                                      });
    while (!out.done) {
        loop.run_one();
    }
    return out;
}

TEST(HttpClientTest, ClosesConnectionAfterResponseWithoutKeepAlive)
{
    asio::io_context loop;
    ScriptedServer server(
        loop, {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}, false);
    HttpClient client(loop);
    callOnce(loop, client, server.port(), {.keepAlive = false});
    loop.run_for(Millis{20});
    EXPECT_EQ(server.open, 0);
    callOnce(loop, client, server.port(), {.keepAlive = false});
    EXPECT_EQ(server.connections, 2);
}

/// Bytes that a server sends, and how the exchange must end.
struct AnswerCase
{
    std::string name;
    std::string bytes;
    bool closes = false;
    ExchangeOutcome end = ExchangeOutcome::Complete;
    std::string body;
};

class AnswerTest : public testing::TestWithParam<AnswerCase>
{
};

TEST_P(AnswerTest, EndsAccordingToItsFraming)
{
    asio::io_context loop;
    ScriptedServer server(loop, {GetParam().bytes}, GetParam().closes);
    HttpClient client(loop);
    const Outcome out = callOnce(loop, client, server.port());
    EXPECT_EQ(out.end, GetParam().end);
    EXPECT_EQ(out.body, GetParam().body);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, AnswerTest,
    testing::Values(
        AnswerCase{"Complete", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, ExchangeOutcome::Complete,
                   "hi"},
        AnswerCase{"CloseDelimited", "HTTP/1.1 200 OK\r\n\r\nhi", true, ExchangeOutcome::Complete, "hi"},
        AnswerCase{"Truncated", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", true, ExchangeOutcome::Broken, ""},
        AnswerCase{"NotHttp", "nonsense\r\n\r\n", false, ExchangeOutcome::Broken, ""},
        AnswerCase{"Nothing", "", true, ExchangeOutcome::Broken, ""},
        AnswerCase{"InterimFirst", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false,
                   ExchangeOutcome::Complete, "x"}),
    [](const auto &item) { return item.param.name; });

/// A server whose response has no framing, and which resets the connection after it.
class ResettingServer
{
public:
    ResettingServer(asio::io_context &loop, Millis pause)
        : m_acceptor(loop, {asio::ip::address_v4::loopback(), 0})
        , m_socket(loop)
        , m_pause(loop)
    {
        m_acceptor.async_accept(m_socket, [this, pause](const asio::error_code &) {
            m_socket.async_wait(asio::ip::tcp::socket::wait_read, [this, pause](const asio::error_code &) {
                m_socket.write_some(asio::buffer(std::string_view("HTTP/1.1 200 OK\r\n\r\nhi")));
                m_pause.start(pause, [this] {
                    m_socket.set_option(asio::socket_base::linger(true, 0));
                    m_socket.close();
                });
            });
        });
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

private:
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::socket m_socket;
    Timer m_pause;
};

TEST(HttpClientTest, CloseDelimitedResponseThatIsResetIsNotComplete)
{
    for (const Millis pause : {Millis{0}, Millis{20}}) {
        asio::io_context loop;
        ResettingServer server(loop, pause);
        HttpClient client(loop);
        EXPECT_EQ(callOnce(loop, client, server.port()).end, ExchangeOutcome::Broken) << pause.count();
    }
}

TEST(HttpClientTest, ReusesConnectionForTheNextCall)
{
    asio::io_context loop;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    ScriptedServer server(loop, {answer, answer, answer}, false);
    HttpClient client(loop);
    callOnce(loop, client, server.port());
    callOnce(loop, client, server.port());
    EXPECT_EQ(server.connections, 1);
    callOnce(loop, client, server.port(), {.newConnection = true});
    EXPECT_EQ(server.connections, 2);
}

TEST(HttpClientTest, DoesNotReuseConnectionWithBytesAfterTheResponse)
{
    asio::io_context loop;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    ScriptedServer server(loop, {answer + "extra", answer}, false);
    HttpClient client(loop);
    callOnce(loop, client, server.port());
    EXPECT_EQ(callOnce(loop, client, server.port()).body, "x");
    EXPECT_EQ(server.connections, 2);
}

TEST(HttpClientTest, RefusedConnectionIsNotConnected)
{
    asio::io_context loop;
    std::uint16_t port = 0;
    {
        ScriptedServer server(loop, {}, false);
        port = server.port();
    }
    HttpClient client(loop);
    EXPECT_EQ(callOnce(loop, client, port).end, ExchangeOutcome::NotConnected);
}

TEST(HttpClientTest, UnresponsivePeerTimesOut)
{
    asio::io_context loop;
    ScriptedServer server(loop, {""}, false);
    HttpClient client(loop);
    EXPECT_EQ(callOnce(loop, client, server.port(), {.timeout = Millis{20}}).end, ExchangeOutcome::TimedOut);
}

/// A server that responds to a request in parts, with a pause before each.
class SlowServer
{
public:
    SlowServer(asio::io_context &loop, std::vector<std::string> parts, Millis pause)
        : m_timer(loop)
        , m_parts(std::move(parts))
        , m_pause(pause)
        , m_listener(loop, [this](const std::shared_ptr<Connection> &connection) {
            m_connection = connection;
            connection->start({.data = [this](std::string_view) {
                writeNext();
            }});
        })
    {
        EXPECT_FALSE(m_listener.open("127.0.0.1", 0));
    }

    std::uint16_t port() const
    {
        return m_listener.port();
    }

private:
    void writeNext()
    {
        if (m_next == m_parts.size()) {
            return;
        }
        m_timer.expires_after(m_pause);
        m_timer.async_wait([this](const asio::error_code &ec) {
            if (!ec) {
                m_connection->write(m_parts[m_next++]);
                writeNext();
            }
        });
    }

    asio::steady_timer m_timer;
    std::vector<std::string> m_parts;
    Millis m_pause;
    std::size_t m_next = 0;
    std::shared_ptr<Connection> m_connection;
    Listener m_listener;
};

/// A slow response, and how the exchange must end.
struct SlowCase
{
    std::string name;
    ExchangeOptions options;
    std::size_t parts = 0; ///< Number of parts that the server sends, of ten.
    ExchangeOutcome end = ExchangeOutcome::Complete;
};

class SlowAnswerTest : public testing::TestWithParam<SlowCase>
{
};

TEST_P(SlowAnswerTest, EndsAccordingToItsTimeouts)
{
    asio::io_context loop;
    std::vector<std::string> parts{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"};
    parts.insert(parts.end(), GetParam().parts - 1, "x");
    SlowServer server(loop, parts, Millis{30});
    HttpClient client(loop);
    EXPECT_EQ(callOnce(loop, client, server.port(), GetParam().options).end, GetParam().end);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, SlowAnswerTest,
    testing::Values(SlowCase{"TimeoutOfWholeExchange", {.timeout = Millis{150}}, 10, ExchangeOutcome::TimedOut},
                    SlowCase{"KeepsArriving",
                             {.timeout = Millis{150}, .stallTimeout = Millis{5000}, .totalTimeout = Millis{20000}},
                             10,
                             ExchangeOutcome::Complete},
                    SlowCase{"Stalls",
                             {.timeout = Millis{5000}, .stallTimeout = Millis{100}, .totalTimeout = Millis{20000}},
                             5,
                             ExchangeOutcome::TimedOut},
                    SlowCase{"ExceedsTotalTimeout",
                             {.timeout = Millis{5000}, .stallTimeout = Millis{5000}, .totalTimeout = Millis{150}},
                             10,
                             ExchangeOutcome::TimedOut}),
    [](const auto &item) { return item.param.name; });

// If the loop stalls, the established connection and the expired connect timeout are handled in one iteration. A
// request that was written must then not be reported as not connected, as it would be retried although it may run.
TEST(HttpClientTest, WrittenRequestIsNotReportedAsNotConnectedAfterLoopStall)
{
    asio::io_context loop;
    ScriptedServer server(loop, {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"}, false);
    HttpClient client(loop);
    std::optional<ExchangeOutcome> end;
    const auto exchange =
        client.call("127.0.0.1", server.port(), "GET / HTTP/1.1\r\n\r\n", {.connectTimeout = Millis{20}},
                    [&](ExchangeOutcome how, const http::ResponseHead &, const std::string &) { end = how; });
    std::this_thread::sleep_for(Millis{60}); // The connection is established and its timeout has expired.
    while (!end) {
        loop.run_one();
    }
    loop.run_for(Millis{50}); // Written bytes arrive.
    EXPECT_EQ(*end == ExchangeOutcome::NotConnected, server.requests == 0) << nameOf(ExchangeOutcomeNames, *end);
}

// A connection that the loop handles after its timeout must not be used, whichever of the two handlers runs first: the
// request was made for the time at which it was sent.
TEST(HttpClientTest, RequestIsNotWrittenToConnectionHandledAfterItsTimeout)
{
    asio::io_context loop;
    ScriptedServer server(loop, {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"}, false);
    HttpClient client(loop);
    std::optional<ExchangeResult> end;
    const auto exchange = client.send("127.0.0.1", server.port(), "GET / HTTP/1.1\r\n\r\n",
                                      {.connectTimeout = Millis{20}}, {.end = [&](const ExchangeResult &result) {
                                          end = result;
                                      }});
    std::this_thread::sleep_for(Millis{60}); // The connection is established and its timeout has expired.
    while (!end) {
        loop.run_one();
    }
    loop.run_for(Millis{50}); // Written bytes arrive.
    EXPECT_EQ(end->outcome, ExchangeOutcome::NotConnected);
    EXPECT_FALSE(end->connected);
    EXPECT_EQ(server.requests, 0);
}

// If the loop stalls, received bytes and the expired stall timeout are handled in one iteration. The exchange must then
// not time out, as the response has continued.
TEST(HttpClientTest, ContinuingResponseDoesNotTimeOutAfterLoopStall)
{
    asio::io_context loop;
    ScriptedServer server(loop, {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhi"}, false);
    HttpClient client(loop);
    std::optional<ExchangeOutcome> end;
    std::string body;
    const auto exchange =
        client.send("127.0.0.1", server.port(), "GET / HTTP/1.1\r\n\r\n",
                    {.timeout = Millis{2000}, .stallTimeout = Millis{500}, .totalTimeout = Millis{2000}},
                    {.body = [&](const std::string &part) { body += part; },
                     .end =
                         [&](const ExchangeResult &result) {
                             end = result.outcome;
                         }});
    while (body.size() < 2) {
        loop.run_one();
    }
    server.writeToAll("l");
    std::this_thread::sleep_for(Millis{600}); // More bytes have arrived and the stall timeout has expired.
    while (!end && body.size() < 3) {
        loop.run_one();
    }
    loop.poll(); // Runs a handler that is still queued.
    server.writeToAll("o");
    while (!end) {
        loop.run_one();
    }
    EXPECT_EQ(*end, ExchangeOutcome::Complete);
    EXPECT_EQ(body, "hilo");
}

TEST(HttpClientTest, ResponseToHeadRequestHasNoBody)
{
    asio::io_context loop;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    ScriptedServer server(loop, {answer, answer}, false);
    HttpClient client(loop);
    for (int n = 0; n < 2; ++n) {
        bool done = false;
        const auto exchange =
            client.call("127.0.0.1", server.port(), "HEAD / HTTP/1.1\r\n\r\n", {.timeout = Millis{2000}},
                        [&](ExchangeOutcome end, const http::ResponseHead &, const std::string &body) {
                            EXPECT_EQ(end, ExchangeOutcome::Complete);
                            EXPECT_EQ(body, "");
                            done = true;
                        });
        while (!done) {
            loop.run_one();
        }
    }
    EXPECT_EQ(server.connections, 1);
}

TEST(HttpClientTest, SkipsResponseToAnotherRequest)
{
    asio::io_context loop;
    ScriptedServer server(loop,
                          {"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 1\r\n\r\na"
                           "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 1\r\n\r\nb"},
                          false);
    HttpClient client(loop);
    std::string body;
    bool done = false;
    const auto exchange =
        client.send("127.0.0.1", server.port(), "GET / HTTP/1.1\r\n\r\n", {},
                    {.head =
                         [](const http::ResponseHead &head) {
                             return head.headers.find("X-Id") == "new" ? HeadDecision::Accept : HeadDecision::Skip;
                         },
                     .body = [&](const std::string &part) { body += part; },
                     .end =
                         [&](const ExchangeResult &) {
                             done = true;
                         }});
    while (!done) {
        loop.run_one();
    }
    EXPECT_EQ(body, "b");
}

} // namespace

} // namespace ibislock::net
