// Calls to the platform's HTTP services, with deadlines, and with lost answers told apart from refused calls.

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/error.h"

#include <memory>
#include <string>

namespace httplib
{
class Client;
}

namespace ibislock::stores
{

/// Where a service is and how long its calls may take.
struct EndpointOptions
{
    std::string url; ///< Scheme, IP and port, such as http://127.0.0.1:9000.
    Millis connectTimeout{500};
    Millis callTimeout{3000};
};

/// A connection to one service. Not safe for use from several threads at once.
class HttpEndpoint
{
public:
    explicit HttpEndpoint(const EndpointOptions &options);
    ~HttpEndpoint();

    HttpEndpoint(const HttpEndpoint &) = delete;
    HttpEndpoint &operator=(const HttpEndpoint &) = delete;

    /// Reads a document.
    /// @return the body, NotFound, or Unavailable.
    Result<std::string> get(const std::string &path);

    /// Sends a document that changes something.
    /// @return the body; Unavailable when nothing was done; OutcomeUnknown when the answer was lost.
    Result<std::string> post(const std::string &path, const std::string &body, const std::string &contentType);

    /// Makes a call in progress fail, from any thread.
    void stop();

private:
    std::unique_ptr<httplib::Client> m_client;
};

} // namespace ibislock::stores
