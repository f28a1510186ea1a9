#include "ibislock/net/http_client.h"

#include <gtest/gtest.h>

namespace ibislock::net
{

namespace
{

/// Answers each request on loopback with fixed bytes, in the order of the script.
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

    int connections = 0;

private:
    void serve(const std::shared_ptr<Connection> &connection)
    {
        ++connections;
        m_connections.push_back(connection);
        connection->start({.data = [this, raw = connection.get()](std::string_view) {
            raw->write(m_next < m_script.size() ? m_script[m_next++] : "");
            if (m_closeAfter) {
                raw->closeAfterWrites();
            }
        }});
    }

    std::vector<std::string> m_script;
    bool m_closeAfter;
    std::size_t m_next = 0;
    std::vector<std::shared_ptr<Connection>> m_connections;
    Listener m_listener;
};

/// The outcome of one call.
struct Outcome
{
    bool done = false;
    ExchangeEnd end = ExchangeEnd::Complete;
    std::string body;
};

Outcome callOnce(asio::io_context &loop, HttpClient &client, std::uint16_t port, const ExchangeOptions &options = {})
{
    Outcome out;
    const auto exchange = client.call("127.0.0.1", port, "GET / HTTP/1.1\r\n\r\n", options,
                                      [&](ExchangeEnd end, const http::ResponseHead &, std::string body) {
                                          out = {.done = true, .end = end, .body = std::move(body)};
                                      });
    while (!out.done) {
        loop.run_one();
    }
    return out;
}

/// What a peer sends, and how the exchange must end.
struct AnswerCase
{
    std::string name;
    std::string bytes;
    bool closes = false;
    ExchangeEnd end = ExchangeEnd::Complete;
    std::string body;
};

class AnswerTest : public testing::TestWithParam<AnswerCase>
{
};

TEST_P(AnswerTest, EndsAsTheFramingSays)
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
        AnswerCase{"Whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, ExchangeEnd::Complete, "hi"},
        AnswerCase{"UntilTheEnd", "HTTP/1.1 200 OK\r\n\r\nhi", true, ExchangeEnd::Complete, "hi"},
        AnswerCase{"CutOff", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", true, ExchangeEnd::Broken, ""},
        AnswerCase{"NoAnswer", "nonsense\r\n\r\n", false, ExchangeEnd::Broken, ""},
        AnswerCase{"Nothing", "", true, ExchangeEnd::Broken, ""},
        AnswerCase{"InterimFirst", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false,
                   ExchangeEnd::Complete, "x"}),
    [](const auto &item) { return item.param.name; });

TEST(HttpClientTest, KeepsAConnectionForTheNextCall)
{
    asio::io_context loop;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    ScriptedServer server(loop, {answer, answer, answer}, false);
    HttpClient client(loop);
    callOnce(loop, client, server.port());
    callOnce(loop, client, server.port());
    EXPECT_EQ(server.connections, 1);
    callOnce(loop, client, server.port(), {.fresh = true});
    EXPECT_EQ(server.connections, 2);
}

TEST(HttpClientTest, BytesBehindAnAnswerEndTheConnection)
{
    asio::io_context loop;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    ScriptedServer server(loop, {answer + "extra", answer}, false);
    HttpClient client(loop);
    callOnce(loop, client, server.port());
    EXPECT_EQ(callOnce(loop, client, server.port()).body, "x");
    EXPECT_EQ(server.connections, 2);
}

TEST(HttpClientTest, NobodyListeningMeansNothingWasSent)
{
    asio::io_context loop;
    std::uint16_t port = 0;
    {
        ScriptedServer server(loop, {}, false);
        port = server.port();
    }
    HttpClient client(loop);
    EXPECT_EQ(callOnce(loop, client, port).end, ExchangeEnd::NotConnected);
}

TEST(HttpClientTest, ASilentPeerEndsInATimeout)
{
    asio::io_context loop;
    ScriptedServer server(loop, {""}, false);
    HttpClient client(loop);
    EXPECT_EQ(callOnce(loop, client, server.port(), {.timeout = Millis{20}}).end, ExchangeEnd::TimedOut);
}

TEST(HttpClientTest, AnAnswerToSomethingElseIsSkipped)
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
                             return head.headers.find("X-Id") == "new" ? HeadVerdict::Take : HeadVerdict::Skip;
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
