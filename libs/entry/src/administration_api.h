// The operators' HTTP interface: tickets, status, audit trail and counters.
//
// Every route is a row of `routes()`; docs/reference/openapi.json describes the same rows, and a test compares them.

#pragma once

#include "ticket_desk.h"

#include "http.h"
#include "ibislock/base/counters.h"
#include "ibislock/node/node.h"
#include "refused_attempts.h"

#include <functional>
#include <vector>

namespace ibislock::entry
{

/// Handles the call of an operator who may make it.
using OperatorHandler =
    std::function<void(const security::Operator &by, const httplib::Request &call, httplib::Response &response)>;

/// One route.
struct Route
{
    std::string method; ///< GET or POST.
    std::string path; ///< As in OpenAPI; `{number}` stands for a ticket's number.
    security::OperatorRole role = security::OperatorRole::View; ///< What an operator needs.
    OperatorHandler handler;
};

/// Serves operators. The objects that it uses must outlive the server.
class AdministrationApi
{
public:
    AdministrationApi(const EntryOptions &options, const security::CredentialStore &credentials, node::Node &node,
                      Counters &counters);

    /// Gives the table of routes.
    std::vector<Route> routes();

    /// Adds the routes to a server.
    void addRoutes(httplib::Server &server);

private:
    void guarded(const Route &route, const httplib::Request &call, httplib::Response &response);
    void noteRefusal(const Route &route, const httplib::Request &call, const std::string &by,
                     const std::string &reason);
    void fileTicket(const security::Operator &by, const httplib::Request &call, httplib::Response &response);
    void listTickets(const httplib::Request &call, httplib::Response &response) const;
    void showTicket(const httplib::Request &call, httplib::Response &response) const;
    void status(httplib::Response &response) const;
    void audit(const httplib::Request &call, httplib::Response &response) const;
    void checkTicket(const httplib::Request &call, httplib::Response &response);
    void replyFiled(const configuration::Ticket &ticket, httplib::Response &response) const;

    const security::CredentialStore &m_credentials;
    node::Node &m_node;
    Counters &m_counters;
    TicketDesk m_desk;
    RefusedAttempts m_refused;
};

} // namespace ibislock::entry
