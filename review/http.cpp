#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review
{

namespace
{

sockaddr_in endpoint(const std::string &ip, std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

void setNoDelay(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void closeWithReset(int fd)
{
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

std::string trim(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t\r");
    if (begin == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1));
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, ms)));
}

std::string Message::field(std::string_view name) const
{
    for (const auto &[key, value] : fields) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

std::string Message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string Message::target() const
{
    const std::size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
}

std::string Message::path() const
{
    const std::string all = target();
    return all.substr(0, all.find('?'));
}

std::string Message::query(std::string_view name) const
{
    const std::string all = target();
    std::size_t at = all.find('?');
    while (at != std::string::npos) {
        const std::size_t begin = at + 1;
        const std::size_t end = std::min(all.find('&', begin), all.size());
        const std::string part = all.substr(begin, end - begin);
        if (part.starts_with(std::string(name) + "=")) {
            return part.substr(name.size() + 1);
        }
        at = all.find('&', begin);
    }
    return {};
}

int Message::status() const
{
    const std::size_t at = start.find(' ');
    return at == std::string::npos ? 0 : std::atoi(start.c_str() + at + 1);
}

Channel::Channel(int fd)
    : m_fd(fd)
{
}

Channel::~Channel()
{
    close(m_fd);
}

int Channel::connectTo(const std::string &ip, std::uint16_t port, int timeoutMs)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in to = endpoint(ip, port);
    const int begun = connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to);
    int error = begun == 0 ? 0 : errno;
    if (error == EINPROGRESS) {
        pollfd item{.fd = fd, .events = POLLOUT, .revents = 0};
        error = poll(&item, 1, timeoutMs) == 1 ? 0 : ETIMEDOUT;
        socklen_t size = sizeof error;
        if (error == 0) {
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        }
    }
    if (error != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    setNoDelay(fd);
    return fd;
}

bool Channel::fill(std::int64_t deadline)
{
    const std::int64_t left = deadline == 0 ? -1 : std::max<std::int64_t>(0, deadline - nowMs());
    pollfd item{.fd = m_fd, .events = POLLIN, .revents = 0};
    if (poll(&item, 1, static_cast<int>(left)) != 1) {
        return false;
    }
    char bytes[16384];
    const ssize_t n = recv(m_fd, bytes, sizeof bytes, 0);
    if (n <= 0) {
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
}

bool Channel::readChunked(std::string &body, std::int64_t deadline)
{
    while (true) {
        std::size_t end = m_buffer.find("\r\n");
        while (end == std::string::npos) {
            if (!fill(deadline)) {
                return false;
            }
            end = m_buffer.find("\r\n");
        }
        const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
        while (m_buffer.size() < end + 2 + size + 2) {
            if (!fill(deadline)) {
                return false;
            }
        }
        body.append(m_buffer, end + 2, size);
        m_buffer.erase(0, end + 2 + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

std::optional<Message> Channel::read(std::int64_t timeoutMs)
{
    const std::int64_t deadline = timeoutMs == 0 ? 0 : nowMs() + timeoutMs;
    std::size_t end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill(deadline)) {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n\r\n");
    }
    Message out;
    std::string_view head(m_buffer.data(), end);
    out.start = std::string(head.substr(0, head.find("\r\n")));
    for (std::size_t at = head.find("\r\n"); at != std::string_view::npos;) {
        const std::size_t next = head.find("\r\n", at + 2);
        const std::string_view line = head.substr(at + 2, next == std::string_view::npos ? next : next - at - 2);
        const std::size_t colon = std::min(line.find(':'), line.size());
        out.fields.emplace_back(std::string(line.substr(0, colon)),
                                trim(line.substr(std::min(colon + 1, line.size()))));
        at = next;
    }
    m_buffer.erase(0, end + 4);
    if (strcasecmp(out.field("Transfer-Encoding").c_str(), "chunked") == 0) {
        return readChunked(out.body, deadline) ? std::optional(out) : std::nullopt;
    }
    const std::size_t length = std::strtoul(out.field("Content-Length").c_str(), nullptr, 10);
    while (m_buffer.size() < length) {
        if (!fill(deadline)) {
            return std::nullopt;
        }
    }
    out.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return out;
}

bool Channel::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool Channel::closedByPeer()
{
    char byte = 0;
    const ssize_t n = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Channel::reset()
{
    closeWithReset(m_fd);
    shutdown(m_fd, SHUT_RD);
}

int Channel::fd() const
{
    return m_fd;
}

std::string response(int status, const std::vector<std::pair<std::string, std::string>> &fields, std::string_view body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Status") + "\r\n";
    for (const auto &[name, value] : fields) {
        out += name + ": " + value + "\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return out.append(body);
}

HttpServer::HttpServer(std::string ip, Handler handler)
    : m_ip(std::move(ip))
    , m_handler(std::move(handler))
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    m_port = freePort(m_ip);
    const sockaddr_in at = endpoint(m_ip, m_port);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0 || listen(m_listener, 256) != 0) {
        throw std::runtime_error("can't listen on " + address());
    }
    std::thread([this] { acceptAll(); }).detach();
}

std::uint16_t HttpServer::port() const
{
    return m_port;
}

std::string HttpServer::address() const
{
    return m_ip + ":" + std::to_string(m_port);
}

void HttpServer::setAway(bool away)
{
    const std::lock_guard lock(m_mutex);
    m_away = away;
    for (const int fd : m_open) {
        if (away) {
            closeWithReset(fd);
            shutdown(fd, SHUT_RDWR);
        }
    }
}

bool HttpServer::isAway() const
{
    return m_away;
}

void HttpServer::acceptAll()
{
    while (true) {
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            sleepMs(10);
            continue;
        }
        if (m_away) {
            closeWithReset(fd);
            close(fd);
            continue;
        }
        setNoDelay(fd);
        std::thread([this, fd] { serve(fd); }).detach();
    }
}

void HttpServer::serve(int fd)
{
    {
        const std::lock_guard lock(m_mutex);
        m_open.insert(fd);
    }
    auto channel = std::make_unique<Channel>(fd);
    while (const auto request = channel->read(0)) {
        if (m_away) {
            break;
        }
        m_handler(*request, *channel);
    }
    const std::lock_guard lock(m_mutex);
    m_open.erase(fd);
    channel.reset();
}

std::uint16_t freePort(const std::string &ip)
{
    static std::mutex mutex;
    static std::set<std::uint16_t> taken;
    static std::mt19937 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    while (true) {
        const auto port = static_cast<std::uint16_t>(12000 + random() % 20000); // Below the ephemeral ports.
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = endpoint(ip, port);
        const bool bound = bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
        close(fd);
        if (bound && taken.insert(port).second) {
            return port;
        }
    }
}

} // namespace review
