// A call to the origin of weights.

#pragma once

#include "ibislock/net/http_client.h"
#include "ibislock/platform/engine_api.h"

namespace ibislock::side
{

/// Calls the origin.
/// @param address IP:PORT; anything else fails like an origin that does not answer.
/// @param done is given the status, 0 if there was no whole answer, and the body.
void callOrigin(asio::io_context &loop, net::HttpClient &client, const std::string &address,
                const platform::ApiRequest &request, std::function<void(int status, std::string body)> done);

} // namespace ibislock::side
