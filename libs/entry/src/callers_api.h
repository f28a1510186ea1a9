// The callers' HTTP interface: completions in the shape that inference callers use, and pass-through for services.

#pragma once

#include "http.h"
#include "request_session.h"

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

    /// Refuses every new call from now on.
    void leave();

    /// Answers nobody from now on, as if the process had crashed; for experiments.
    void breakOff();

private:
    void completion(const httplib::Request &call, httplib::Response &response);
    void service(const httplib::Request &call, httplib::Response &response);
    std::optional<std::string> workspaceOf(const httplib::Request &call, httplib::Response &response);
    void mintKey(const httplib::Request &call, httplib::Response &response);
    const std::string *roleOf(const std::string &path) const;
    void dropIfBroken(httplib::Response &response) const;

    /// Refuses a call while this VM is leaving.
    /// @param key of the call; empty for none.
    bool isLeaving(httplib::Response &response, const std::string &key = {}) const;
    void answerWhole(RequestSession &session, httplib::Response &response);
    void answerStream(const std::shared_ptr<RequestSession> &session, httplib::Response &response);

    const EntryOptions &m_options;
    const security::CredentialStore &m_credentials;
    Dispatcher &m_dispatcher;
    Counters &m_counters;
    std::atomic<bool> m_leaving = false;
    std::atomic<bool> m_broken = false;
};

} // namespace ibislock::entry
