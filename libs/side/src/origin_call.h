// Sends a request to the origin of the weights.

#pragma once

#include "ibislock/net/http_client.h"
#include "ibislock/platform/engine_api.h"

namespace ibislock::side
{

/// Sends a request to the origin.
/// @param address IP:PORT; with an invalid address, `done` is called as for an origin that doesn't respond.
/// @param maxBodyBytes limit of the body.
/// @param done receives the HTTP status, or 0 without a complete response, and the body.
void callOrigin(asio::io_context &loop, net::HttpClient &client, const std::string &address,
                const platform::ApiRequest &request, std::size_t maxBodyBytes,
                std::function<void(int status, std::string body)> done);

} // namespace ibislock::side
