#include "http.h"

#include "guarded_server.h"
#include "ibislock/base/descriptors.h"

#include <algorithm>

namespace ibislock::entry
{

namespace
{

HttpOptions withinDescriptors(HttpOptions options)
{
    const auto connectionsMax =
        static_cast<std::size_t>(options.descriptorShare * static_cast<double>(descriptorLimit()));
    const std::size_t threadsMax = std::max<std::size_t>(connectionsMax / 2, 1); // as many wait as are served
    options.threads = static_cast<std::uint32_t>(std::min<std::size_t>(options.threads, threadsMax));
    return options;
}

} // namespace

HttpServer::HttpServer(const HttpOptions &options, std::shared_ptr<const security::TlsStore> tls, BodyAccount &account,
                       Counters &counters)
    : m_options(withinDescriptors(options))
    , m_server(std::make_unique<GuardedServer>(m_options, std::move(tls), account, counters))
{
}

HttpServer::~HttpServer()
{
    stop();
}

httplib::Server &HttpServer::routes()
{
    return *m_server;
}

Result<void> HttpServer::start()
{
    if (m_options.port == 0) {
        const int port = m_server->bind_to_any_port(m_options.address);
        m_port = static_cast<std::uint16_t>(std::max(port, 0));
    } else if (m_server->bind_to_port(m_options.address, m_options.port)) {
        m_port = m_options.port;
    }
    if (m_port == 0) {
        return failure(ErrorCode::Unavailable,
                       "can't listen on " + m_options.address + ":" + std::to_string(m_options.port));
    }
    m_server->widenBacklog();
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    while (!m_server->is_running()) {
        std::this_thread::sleep_for(Millis(1));
    }
    return {};
}

void HttpServer::stop()
{
    m_server->stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::uint16_t HttpServer::port() const
{
    return m_port;
}

std::optional<std::string> bearerOf(const httplib::Request &request)
{
    constexpr std::string_view Scheme = "Bearer ";
    const std::string header = request.get_header_value("Authorization");
    return header.starts_with(Scheme) ? std::optional(header.substr(Scheme.size())) : std::nullopt;
}

nlohmann::json jsonBodyOf(const httplib::Request &request)
{
    using nlohmann::json;
    bool tooDeep = false;
    const json::parser_callback_t limitDepth = [&](int depth, json::parse_event_t, json &) {
        tooDeep = tooDeep || depth > BodyDepthMax;
        return !tooDeep;
    };
    json body = json::parse(request.body, limitDepth, false);
    return tooDeep ? json(json::value_t::discarded) : body;
}

void replyJson(httplib::Response &response, int status, const nlohmann::json &body)
{
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

void replyError(httplib::Response &response, int status, std::string_view code, std::string_view message)
{
    replyJson(response, status, {{"error", {{"code", code}, {"message", message}}}});
}

} // namespace ibislock::entry
