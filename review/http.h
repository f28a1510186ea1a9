// HTTP/1.1 over blocking sockets on loopback addresses, for the stand-ins of the review.

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review
{

/// Returns the time of the steady clock in milliseconds.
std::int64_t nowMs();

/// Returns the Unix time in milliseconds.
std::int64_t unixMs();

void sleepMs(std::int64_t ms);

/// A request or a response.
struct Message
{
    std::string start; ///< The first line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// Returns the value of a header field; empty if it is missing.
    std::string field(std::string_view name) const;

    /// Returns the method of a request.
    std::string method() const;

    /// Returns the target of a request.
    std::string target() const;

    /// Returns the path of a request, without its query.
    std::string path() const;

    /// Returns a value of the query of a request; empty if it is missing.
    std::string query(std::string_view name) const;

    /// Returns the status of a response.
    int status() const;
};

/// A TCP connection.
class Channel
{
public:
    explicit Channel(int fd);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /// Connects to an address.
    /// @return the file descriptor, or -1.
    static int connectTo(const std::string &ip, std::uint16_t port, int timeoutMs);

    /// Reads one message with its body.
    /// @param timeoutMs limit of the whole message; 0 for none.
    /// @return nothing if the connection ended or the message isn't complete in time.
    std::optional<Message> read(std::int64_t timeoutMs);

    /// Writes bytes.
    /// @return false if the connection has ended.
    bool write(std::string_view bytes);

    /// Returns whether the peer has closed or reset the connection.
    bool closedByPeer();

    /// Ends the connection with a reset.
    void reset();

    int fd() const;

private:
    bool fill(std::int64_t deadline);
    bool readChunked(std::string &body, std::int64_t deadline);

    int m_fd;
    std::string m_buffer;
};

/// Formats a response with a length.
std::string response(int status, const std::vector<std::pair<std::string, std::string>> &fields, std::string_view body);

/// A server with a thread for each connection. It lives as long as the process.
class HttpServer
{
public:
    using Handler = std::function<void(const Message &request, Channel &channel)>;

    /// Listens on a free port of an address.
    HttpServer(std::string ip, Handler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const;
    std::string address() const;

    /// Sets whether the server is away: it resets the open connections and each new one.
    void setAway(bool away);
    bool isAway() const;

private:
    void acceptAll();
    void serve(int fd);

    std::string m_ip;
    Handler m_handler;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_away{false};
    std::mutex m_mutex;
    std::set<int> m_open;
};

/// Returns a TCP port that is free on an address, another one at each call.
std::uint16_t freePort(const std::string &ip);

} // namespace review
