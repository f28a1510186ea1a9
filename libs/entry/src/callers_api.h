// The callers' HTTP interface: completions in the shape that inference callers use, and pass-through for services.

#pragma once

#include "dispatcher.h"
#include "http.h"

namespace ibislock::entry
{

/// Serves callers. The objects that it uses must outlive the server.
class CallersApi
{
public:
    CallersApi(const EntryOptions &options, const security::CredentialStore &credentials, Dispatcher &dispatcher,
               Counters &counters);

    /// Adds the routes to a server.
    void addRoutes(httplib::Server &server);

private:
    void completion(const httplib::Request &call, httplib::Response &response);
    void service(const httplib::Request &call, httplib::Response &response);
    std::optional<std::string> workspaceOf(const httplib::Request &call, httplib::Response &response);
    void answerWhole(const requests::Request &request, httplib::Response &response);
    void answerStream(requests::Request request, httplib::Response &response);

    const EntryOptions &m_options;
    const security::CredentialStore &m_credentials;
    Dispatcher &m_dispatcher;
    Counters &m_counters;
};

} // namespace ibislock::entry
