#include "origin_call.h"

#include "ibislock/platform/settings.h"

namespace ibislock::side
{

namespace
{

/// Timeout of connecting to the origin.
constexpr Millis ConnectTime{1000};

} // namespace

void callOrigin(asio::io_context &loop, net::HttpClient &client, const std::string &address,
                const platform::ApiRequest &request, std::size_t maxBodyBytes, Millis timeout,
                std::function<void(int status, std::string body)> done)
{
    const auto endpoint = platform::parseEndpoint(address);
    if (!endpoint) {
        asio::post(loop, [done = std::move(done)] { done(0, ""); });
        return;
    }
    http::RequestHead head = request.head;
    head.headers.add("Host", endpoint->ip);
    // The origin accepts a few dozen connections from all VMs together; a persistent connection would use up one that
    // another VM needs.
    client.call(endpoint->ip, endpoint->port, writeRequest(head, request.body),
                {.connectTimeout = ConnectTime,
                 .timeout = timeout,
                 .newConnection = true,
                 .keepAlive = false,
                 .maxBodyBytes = maxBodyBytes},
                [done = std::move(done)](net::ExchangeOutcome end, const http::ResponseHead &answer, std::string body) {
                    done(end == net::ExchangeOutcome::Complete ? answer.status : 0, std::move(body));
                });
}

} // namespace ibislock::side
