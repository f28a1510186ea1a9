// Sends a request to the origin of the weights.

#pragma once

#include "ibislock/net/http_client.h"
#include "ibislock/platform/engine_api.h"

namespace ibislock::side
{

/// Timeout of a request to the origin; its link is shared by all VMs.
inline constexpr Millis OriginTimeout{4000};

/// Sends a request to the origin.
/// @param address IP:PORT; with an invalid address, `done` is called as for an origin that doesn't respond.
/// @param maxBodyBytes limit of the body.
/// @param timeout how long to wait for the complete response.
/// @param done receives the HTTP status, or 0 without a complete response, and the body.
void callOrigin(asio::io_context &loop, net::HttpClient &client, const std::string &address,
                const platform::ApiRequest &request, std::size_t maxBodyBytes, Millis timeout,
                std::function<void(int status, std::string body)> done);

} // namespace ibislock::side
