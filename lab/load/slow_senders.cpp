#include "load/slow_senders.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace ibislock::lab
{

namespace
{

constexpr std::string_view Begin = "POST /v1/completions HTTP/1.1\r\nX-Slow: ";
constexpr Millis StepInterval{5};

sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

} // namespace

SlowSenders::SlowSenders(SlowSenderOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_connections(m_options.connections)
{
}

SlowSenders::~SlowSenders()
{
    stop();
}

void SlowSenders::start()
{
    m_stopping = false;
    m_thread = std::thread([this] { run(); });
}

void SlowSenders::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    for (Connection &connection : m_connections) {
        if (connection.fd >= 0) {
            close(connection.fd);
            connection.fd = -1;
        }
    }
    m_open = 0;
}

unsigned SlowSenders::open() const
{
    return m_open;
}

std::uint64_t SlowSenders::closed() const
{
    return m_closed;
}

void SlowSenders::run()
{
    while (!m_stopping) {
        const Millis now = steadyMillis();
        for (Connection &connection : m_connections) {
            if (connection.fd < 0) {
                begin(connection);
            } else if (now >= connection.nextByte) {
                step(connection);
            }
        }
        std::this_thread::sleep_for(StepInterval);
    }
}

void SlowSenders::begin(Connection &connection)
{
    connection.fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in from = addressOf(m_options.source, 0);
    const sockaddr_in to = addressOf("127.0.0.1", m_options.port);
    const bool connected = bind(connection.fd, reinterpret_cast<const sockaddr *>(&from), sizeof(from)) == 0
        && connect(connection.fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) == 0
        && send(connection.fd, Begin.data(), Begin.size(), MSG_NOSIGNAL) > 0;
    if (!connected) {
        close(connection.fd);
        connection.fd = -1;
        return;
    }
    ++m_open;
    connection.nextByte = steadyMillis() + jittered(m_random, m_options.interval);
}

void SlowSenders::step(Connection &connection)
{
    char byte = 'x';
    const bool ended = recv(connection.fd, &byte, 1, MSG_DONTWAIT) >= 0;
    if (!ended && send(connection.fd, "x", 1, MSG_NOSIGNAL) == 1) {
        connection.nextByte = steadyMillis() + m_options.interval;
        return;
    }
    close(connection.fd);
    connection.fd = -1;
    --m_open;
    ++m_closed;
}

} // namespace ibislock::lab
