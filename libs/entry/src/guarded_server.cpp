#include "guarded_server.h"

#include "elastic_threads.h"
#include "http.h"

#include <algorithm>
#include <cctype>

namespace ibislock::entry
{

namespace
{

constexpr Millis StopPollInterval{50};

/// Without this the library also lets other processes share the port.
void reuseAddressOnly(int socket)
{
    const int yes = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

/// An answer that is written without the HTTP library, which has given the request up.
std::string bareAnswer(std::string_view status, std::string_view code, std::string_view message,
                       std::string_view headers = {})
{
    const std::string body = nlohmann::json{{"error", {{"code", code}, {"message", message}}}}.dump();
    return "HTTP/1.1 " + std::string(status) + "\r\nContent-Type: application/json\r\nConnection: close\r\n"
        + std::string(headers) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string answerTo(StreamFault fault)
{
    switch (fault) {
    case StreamFault::SlowHeader:
    case StreamFault::SlowBody:
        return bareAnswer("408 Request Timeout", "deadline_exceeded", "the request took too long to arrive");
    case StreamFault::HeaderTooLarge:
        return bareAnswer("431 Request Header Fields Too Large", "invalid_argument", "the header is too large");
    case StreamFault::BodyTooLarge:
        return bareAnswer("413 Payload Too Large", "invalid_argument", "the body is too large");
    case StreamFault::GaveWay:
        return bareAnswer("503 Service Unavailable", "unavailable",
                          "the server is busy; nothing of the request was run", "Retry-After: 1\r\n");
    default:
        return {};
    }
}

std::string_view messageFor(int status)
{
    switch (status) {
    case 404:
        return "no route leads there";
    case 413:
        return "the body is too large";
    case 414:
        return "the path is too long";
    default:
        return "the request is malformed";
    }
}

/// Refuses what the library would read and should not: packed bodies, whose unpacked size has no limit, and bodies
/// whose length is malformed or given in two ways.
/// @param bodyBytesMax largest body that is read.
httplib::Server::HandlerResponse checkHeader(const httplib::Request &request, httplib::Response &response,
                                             std::uint64_t bodyBytesMax)
{
    if (request.has_header("Content-Encoding")) {
        replyError(response, 415, "invalid_argument", "packed bodies are not accepted");
        return httplib::Server::HandlerResponse::Handled;
    }
    const std::string length = request.get_header_value("Content-Length");
    if (!std::all_of(length.begin(), length.end(), [](unsigned char c) { return std::isdigit(c) != 0; })) {
        replyError(response, 400, "invalid_argument", "the length of the body is not a whole number");
        return httplib::Server::HandlerResponse::Handled;
    }
    if (length.size() > std::to_string(bodyBytesMax).size()
        || (!length.empty() && std::stoull(length) > bodyBytesMax)) {
        replyError(response, 413, "invalid_argument", "the body is too large");
        return httplib::Server::HandlerResponse::Handled;
    }
    if (!length.empty() && request.has_header("Transfer-Encoding")) {
        replyError(response, 400, "invalid_argument", "the length of the body is given in two ways");
        return httplib::Server::HandlerResponse::Handled;
    }
    return httplib::Server::HandlerResponse::Unhandled;
}

void closeSocket(socket_t socket)
{
    shutdown(socket, SHUT_RDWR);
    close(socket);
}

} // namespace

GuardedServer::GuardedServer(const HttpOptions &options, std::shared_ptr<const security::TlsStore> tls,
                             BodyAccount &account, Counters &counters)
    : m_options(options)
    , m_counters(counters)
    , m_surroundings{.account = account,
                     .isCrowded = [this] { return m_threads->hasBacklog(); },
                     .isStopping =
                         [this] {
                             return isStopping();
                         }}
{
    if (tls) {
        m_tls.emplace(std::move(tls));
    }
    new_task_queue = [this] {
        m_threads = new ElasticThreads({.threadsMax = m_options.threads, .waitingMax = m_options.threads});
        return m_threads;
    };
    set_payload_max_length(options.bodyBytesMax);
    set_tcp_nodelay(true);
    set_socket_options(reuseAddressOnly);
    set_pre_routing_handler([this](const httplib::Request &request, httplib::Response &response) {
        return checkHeader(request, response, m_options.bodyBytesMax);
    });
    const HandlerWithResponse describeRefusal = [this](const httplib::Request &, httplib::Response &response) {
        // Answers of handlers, which may have no body, carry a content type; refusals by the library don't.
        if (!response.has_header("Content-Type")) {
            replyError(response, response.status, response.status == 404 ? "not_found" : "invalid_argument",
                       messageFor(response.status));
            m_counters.add(Counter::InputsRefused);
        }
        return HandlerResponse::Handled;
    };
    set_error_handler(describeRefusal);
    set_exception_handler([](const httplib::Request &, httplib::Response &response, const std::exception_ptr &) {
        replyError(response, 500, "internal", "the request could not be handled");
    });
}

void GuardedServer::widenBacklog() const
{
    ::listen(svr_sock_, SOMAXCONN);
}

bool GuardedServer::process_and_close_socket(socket_t socket)
{
    serve(socket);
    closeSocket(socket);
    return true;
}

void GuardedServer::serve(socket_t socket)
{
    GuardedStream stream(socket, m_tls ? m_tls->accept(socket) : nullptr, m_options, m_surroundings);
    std::string peer;
    int port = 0;
    stream.get_remote_ip_and_port(peer, port);
    if (!enter(peer)) {
        m_counters.add(Counter::ConnectionsRefused);
        return;
    }
    if (stream.handshake()) {
        serveRequests(stream);
    }
    refuseFaulty(stream);
    if (stream.mustClose() && stream.fault() != StreamFault::Closed) {
        stream.linger();
    }
    leave(peer);
}

void GuardedServer::serveRequests(GuardedStream &stream)
{
    Millis patience = m_options.headerTimeout;
    bool closed = false;
    while (!closed && !stream.mustClose() && awaitRequest(stream, patience)) {
        stream.beginRequest();
        if (!process_request(stream, isStopping(), closed, nullptr)) {
            return;
        }
        patience = m_options.keepAlive;
    }
}

bool GuardedServer::awaitRequest(GuardedStream &stream, Millis timeout) const
{
    const Millis deadline = steadyMillis() + timeout;
    while (!isStopping()) {
        const Millis left = deadline - steadyMillis();
        if (left <= Millis(0)) {
            return false;
        }
        if (stream.waitForInput(std::min(left, StopPollInterval))) {
            return true;
        }
        if (m_threads->hasBacklog()) {
            return false;
        }
    }
    return false;
}

void GuardedServer::refuseFaulty(GuardedStream &stream)
{
    const StreamFault fault = stream.fault();
    const std::string answer = answerTo(fault);
    if (answer.empty()) {
        return;
    }
    const bool slow = fault != StreamFault::HeaderTooLarge && fault != StreamFault::BodyTooLarge;
    m_counters.add(slow ? Counter::SlowSendersClosed : Counter::InputsRefused);
    stream.refuse(answer);
}

bool GuardedServer::enter(const std::string &peer)
{
    const std::lock_guard lock(m_mutex);
    auto &connections = m_connections[peer];
    if (m_options.connectionsPerPeer != 0 && connections >= m_options.connectionsPerPeer) {
        return false;
    }
    ++connections;
    return true;
}

void GuardedServer::leave(const std::string &peer)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_connections.find(peer);
    if (--it->second == 0) {
        m_connections.erase(it);
    }
}

bool GuardedServer::isStopping() const
{
    return svr_sock_ == INVALID_SOCKET;
}

} // namespace ibislock::entry
