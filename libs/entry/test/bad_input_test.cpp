// A table of bad inputs. Each gets a clear answer, and the interface goes on to serve others.

#include "entry_fixture.h"

namespace ibislock::entry
{

namespace
{

std::string post(const std::string &path, const std::string &key, const std::string &body, const std::string &more = {})
{
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer " + key + "\r\n" + more
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string nested(int depth)
{
    const auto n = static_cast<std::size_t>(depth);
    return R"({"model": )" + std::string(n, '[') + std::string(n, ']') + "}";
}

/// What is sent to which interface, and the status that must come back.
struct BadInput
{
    const char *name;
    bool toOperators;
    std::string bytes;
    int status;
};

constexpr std::size_t BodyMax = 8192;
constexpr std::size_t HeaderMax = 4096;

std::vector<BadInput> badInputs()
{
    const std::string completion = "/v1/completions";
    const std::string tickets = "/v1/tickets";
    return {
        {"NotHttp", false, "\x16\x03\x01 hello\r\n\r\n", 400},
        {"NoVersion", false, "GET /\r\n\r\n", 400},
        {"UnknownMethod", false, "BREW /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 400},
        {"HugeHeader", false, "GET / HTTP/1.1\r\nX: " + std::string(2 * HeaderMax, 'x') + "\r\n\r\n", 431},
        {"ManyHeaders", false,
         "GET / HTTP/1.1\r\n" +
             [] {
                 std::string lines;
                 for (std::size_t i = 0; i < HeaderMax / 8; ++i) {
                     lines += "A" + std::to_string(i) + ": x\r\n";
                 }
                 return lines;
             }()
             + "\r\n",
         431},
        {"HugeBody", false, post(completion, CallerKey, std::string(2 * BodyMax, 'x')), 413},
        {"HugeBodyInChunks", false,
         "POST /v1/completions HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n"
             + std::string(0x40000, 'x') + "\r\n0\r\n\r\n",
         413},
        {"NegativeLength", false, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400},
        {"LengthGivenTwice", false,
         "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         400},
        {"PackedBody", false, post(completion, CallerKey, "x", "Content-Encoding: gzip\r\n"), 415},
        {"NotJson", false, post(completion, CallerKey, "{\"model\": "), 400},
        {"JsonOfAnotherShape", false, post(completion, CallerKey, "[1, 2]"), 400},
        {"ModelIsANumber", false, post(completion, CallerKey, R"({"model": 1})"), 400},
        {"DeepJson", false, post(completion, CallerKey, nested(200)), 400},
        {"NotUtf8", false, post(completion, CallerKey, "{\"model\": \"\xff\xfe\"}"), 400},
        {"NoCredential", false, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 401},
        {"UnknownRoute", false,
         "GET /nowhere HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer " + std::string(CallerKey)
             + "\r\n\r\n",
         404},
        {"TicketNotJson", true, post(tickets, FileKey, "number 1"), 400},
        {"TicketWithoutNumber", true, post(tickets, FileKey, R"({"scopes": []})"), 400},
        {"TicketWithANegativeNumber", true, post(tickets, FileKey, R"({"number": -1, "scopes": []})"), 400},
        {"DeepTicket", true, post(tickets, FileKey, std::string(5000, '[')), 400},
        {"HugeTicketNumberInPath", true,
         "GET /v1/tickets/99999999999999999999 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 404},
        {"PageOfText", true,
         "GET /v1/tickets?limit=many HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: "
         "Bearer "
             + std::string(ViewKey) + "\r\n\r\n",
         400},
        {"PageTooLong", true,
         "GET /v1/audit?limit=1000 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: "
         "Bearer "
             + std::string(ViewKey) + "\r\n\r\n",
         400},
        {"PageInBothDirections", true,
         "GET /v1/audit?after=1&before=2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
         "Authorization: Bearer "
             + std::string(ViewKey) + "\r\n\r\n",
         400},
        {"SlowHeader", false, "GET / HTTP/1.1\r\nX: ", 408},
        {"SlowBody", false, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", 408},
    };
}

class BadInputTest : public EntryTest, public testing::WithParamInterface<BadInput>
{
protected:
    BadInputTest()
    {
        for (HttpOptions *http : {&m_options.callers, &m_options.administration}) {
            http->bodyBytesMax = BodyMax;
            http->headerBytesMax = HeaderMax;
            http->headerTimeout = Millis(200);
            http->bodyTimeout = Millis(200);
            http->keepAlive = Millis(200);
        }
    }
};

TEST_P(BadInputTest, GetsAClearAnswerAndHarmsNobodyElse)
{
    start();
    const auto port = GetParam().toOperators ? m_daemon->administrationPort() : m_daemon->callersPort();
    const std::string answer = exchangeRaw(port, GetParam().bytes);
    EXPECT_EQ(statusOf(answer), GetParam().status) << answer.substr(0, 300);
    EXPECT_NE(answer.find("\"error\""), std::string::npos) << answer.substr(0, 300);
    EXPECT_EQ(get("/v1/status")["last_ticket"], 0);
    const auto caller = httplib::Client("127.0.0.1", m_daemon->callersPort()).Get("/");
    ASSERT_TRUE(caller) << "the callers' interface does not answer any more";
    EXPECT_EQ(caller->status, 401);
}

INSTANTIATE_TEST_SUITE_P(Cases, BadInputTest, testing::ValuesIn(badInputs()),
                         [](const auto &it) { return it.param.name; });

TEST_F(EntryTest, RefusesMoreConnectionsOfOnePeerThanAllowed)
{
    m_options.callers.connectionsPerPeer = 2;
    start();
    std::vector<std::unique_ptr<httplib::Client>> clients;
    for (int i = 0; i < 3; ++i) {
        clients.push_back(std::make_unique<httplib::Client>("127.0.0.1", m_daemon->callersPort()));
        clients.back()->set_keep_alive(true);
        const auto answer = clients.back()->Get("/");
        EXPECT_EQ(bool(answer), i < 2) << "connection " << i;
    }
    EXPECT_EQ(m_daemon->counters().value(Counter::ConnectionsRefused), 1U);
}

} // namespace

} // namespace ibislock::entry
