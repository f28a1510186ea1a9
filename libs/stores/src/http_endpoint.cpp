#include "ibislock/stores/http_endpoint.h"

#include "ibislock/base/http_status.h"

#include <httplib.h>

namespace ibislock::stores
{

namespace
{

Error errorOf(httplib::Error error, bool changes)
{
    // Only a connection that was never made proves that the service did nothing.
    const bool neverSent = error == httplib::Error::Connection || error == httplib::Error::BindIPAddress
        || error == httplib::Error::SSLConnection;
    const auto code = changes && !neverSent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
    return {code, "the platform's service does not answer: " + httplib::to_string(error)};
}

Result<std::string> resultOf(const httplib::Result &result, bool changes)
{
    if (!result) {
        return tl::unexpected(errorOf(result.error(), changes));
    }
    if (result->status == 200) {
        return result->body;
    }
    const std::string message = "the platform's service answers with status " + std::to_string(result->status);
    if (result->status == 404) {
        return failure(ErrorCode::NotFound, message);
    }
    if (result->status == 429 || result->status == 503) {
        return failure(ErrorCode::Unavailable, message);
    }
    if (result->status >= 500 || !isHttpStatus(result->status)) {
        return failure(changes ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable, message);
    }
    return failure(ErrorCode::InvalidArgument, message);
}

} // namespace

HttpEndpoint::HttpEndpoint(const EndpointOptions &options)
    : m_client(std::make_unique<httplib::Client>(options.url))
{
    m_client->set_keep_alive(true);
    m_client->set_tcp_nodelay(true);
    m_client->set_connection_timeout(options.connectTimeout);
    m_client->set_read_timeout(options.callTimeout);
    m_client->set_write_timeout(options.callTimeout);
}

HttpEndpoint::~HttpEndpoint() = default;

Result<std::string> HttpEndpoint::get(const std::string &path)
{
    return resultOf(m_client->Get(path), false);
}

Result<std::string> HttpEndpoint::post(const std::string &path, const std::string &body, const std::string &contentType)
{
    return resultOf(m_client->Post(path, body, contentType), true);
}

void HttpEndpoint::stop()
{
    m_client->stop();
}

} // namespace ibislock::stores
