// What both HTTP interfaces of an entry daemon share: the server with its limits, and typed answers.
//
//     HttpServer server({.port = 8080}, nullptr, counters);
//     server.routes().Get("/v1/status", handler);
//     server.start();

#pragma once

#include "ibislock/base/counters.h"
#include "ibislock/base/error.h"
#include "ibislock/entry/options.h"

#include <httplib.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

namespace ibislock::entry
{

class BodyAccount;
class GuardedServer;

/// An HTTP server with its listening thread. Slow, oversized and malformed input is refused before any handler runs.
class HttpServer
{
public:
    /// @param tls the certificate to show; null for plain text.
    /// @param account of the bodies of all servers of the process; it must outlive the server.
    HttpServer(const HttpOptions &options, std::shared_ptr<const security::TlsStore> tls, BodyAccount &account,
               Counters &counters);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Gives the server, to add routes before `start`.
    httplib::Server &routes();

    /// Binds and starts to accept.
    Result<void> start();

    /// Stops to accept, and waits for the requests in progress.
    void stop();

    /// Gives the port.
    std::uint16_t port() const;

private:
    HttpOptions m_options;
    std::unique_ptr<GuardedServer> m_server;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

/// The deepest nesting of a JSON body that is read.
inline constexpr int BodyDepthMax = 32;

/// Gives the key that a request presents.
std::optional<std::string> bearerOf(const httplib::Request &request);

/// Reads a JSON body; one that is malformed or nested too deeply is discarded.
nlohmann::json jsonBodyOf(const httplib::Request &request);

/// Answers with a JSON document.
void replyJson(httplib::Response &response, int status, const nlohmann::json &body);

/// Answers with an error document: `{"error": {"code": ..., "message": ...}}`.
void replyError(httplib::Response &response, int status, std::string_view code, std::string_view message);

} // namespace ibislock::entry
