#include "entry_fixture.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ibislock::entry
{

namespace
{

constexpr int HttpStatusAt = 9;
constexpr int ReceiveSeconds = 20;

} // namespace

std::string exchangeRaw(std::uint16_t port, const std::string &bytes)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const timeval timeout{.tv_sec = ReceiveSeconds, .tv_usec = 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    std::string answer;
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0) {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                break;
            }
            sent += static_cast<std::size_t>(n);
        }
        std::array<char, 4096> buf{};
        for (ssize_t n = 0; (n = recv(fd, buf.data(), buf.size(), 0)) > 0;) {
            answer.append(buf.data(), static_cast<std::size_t>(n));
        }
    }
    close(fd);
    return answer;
}

int statusOf(const std::string &rawAnswer)
{
    return rawAnswer.starts_with("HTTP/1.1 ") ? std::atoi(rawAnswer.c_str() + HttpStatusAt) : 0;
}

std::string ticketText(std::uint64_t number, const std::string &version)
{
    return nlohmann::json{
        {"number", number},
        {"scopes",
         {{{"workspace", "*"}, {"role", "forecast"}, {"model", "frost"}, {"version", version}, {"vms", {"target1"}}}}}}
        .dump();
}

EntryTest::EntryTest()
{
    m_log.start();
    m_list.start();
    // Tickets may only name target VMs that exist.
    m_list.set("target1", {.domain = "north", .address = "127.0.0.1:1", .kind = "target"});
    m_options.node = {.vm = "entry1", .domain = "north", .log = {.url = m_log.url()}, .vmList = {.url = m_list.url()}};
    m_options.node.tls.mode = security::TlsMode::Plaintext;
    security::addCaller(m_options.credentials.keys, CallerKey, "dala");
    security::addOperator(m_options.credentials.keys, ViewKey, {.name = "viewer"});
    security::addOperator(m_options.credentials.keys, FileKey, {.name = "filer", .role = security::OperatorRole::File});
}

void EntryTest::start()
{
    m_daemon.emplace(m_options);
    const auto started = m_daemon->start();
    ASSERT_TRUE(started) << started.error().message;
}

std::unique_ptr<httplib::Client> EntryTest::administration(const std::string &key)
{
    auto client = std::make_unique<httplib::Client>("127.0.0.1", m_daemon->administrationPort());
    client->set_bearer_token_auth(key);
    client->set_read_timeout(std::chrono::milliseconds(Patience));
    return client;
}

nlohmann::json EntryTest::get(const std::string &path, int status)
{
    const auto answer = administration(ViewKey)->Get(path);
    if (!answer) {
        ADD_FAILURE() << path << ": " << httplib::to_string(answer.error());
        return {};
    }
    EXPECT_EQ(answer->status, status) << path << ": " << answer->body;
    return nlohmann::json::parse(answer->body, nullptr, false);
}

} // namespace ibislock::entry
