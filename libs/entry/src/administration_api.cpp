#include "administration_api.h"

#include "paging.h"
#include "status_document.h"

#include <algorithm>
#include <iterator>

namespace ibislock::entry
{

namespace
{

using configuration::AuditEntry;
using nlohmann::json;

json toJson(const AuditEntry &entry)
{
    json scopes = json::array();
    for (const configuration::ChangeSummary &change : entry.changes) {
        scopes.push_back({{"workspace", change.scope.workspace},
                          {"role", change.scope.role},
                          {"model", change.model},
                          {"version", change.version},
                          {"vms", change.vmCount}});
    }
    json inForce = json::object();
    for (const configuration::InEffect &it : entry.inEffect) {
        inForce[it.domain] = it.atMs;
    }
    return {{"offset", entry.offset},    {"number", entry.number},         {"content", toHex(entry.content)},
            {"filed_by", entry.filedBy}, {"filed_at_ms", entry.filedAtMs}, {"accepted", entry.accepted},
            {"reason", entry.reason},    {"scopes", std::move(scopes)},    {"in_force_at_ms", std::move(inForce)}};
}

json toJson(const std::vector<configuration::Refusal> &refusals)
{
    json items = json::array();
    for (const configuration::Refusal &refusal : refusals) {
        items.push_back(
            {{"kind", nameOf(configuration::RefusalKindNames, refusal.kind)}, {"message", refusal.message}});
    }
    return items;
}

/// Writes a page with what to ask for next.
template <typename KeyOf>
json pageDocument(const char *name, const Page<AuditEntry> &page, const PageQuery &query, KeyOf &&keyOf)
{
    json items = json::array();
    for (const AuditEntry &entry : page.items) {
        items.push_back(toJson(entry));
    }
    json document{{name, std::move(items)}, {"next_after", nullptr}, {"next_before", nullptr}};
    if (page.more && query.before) {
        document["next_before"] = keyOf(page.items.front());
    } else if (page.more) {
        document["next_after"] = keyOf(page.items.back());
    }
    return document;
}

void replyFailure(httplib::Response &response, int status, const Error &error)
{
    replyError(response, status, nameOf(ErrorCodeNames, error.code), error.message);
}

/// Turns a path of the table into the library's pattern.
std::string patternOf(std::string path)
{
    constexpr std::string_view Number = "{number}";
    const auto at = path.find(Number);
    return at == std::string::npos ? path : path.replace(at, Number.size(), R"((\d{1,18}))");
}

} // namespace

AdministrationApi::AdministrationApi(const EntryOptions &options, const security::CredentialStore &credentials,
                                     node::Node &node, Counters &counters)
    : m_credentials(credentials)
    , m_node(node)
    , m_counters(counters)
    , m_desk(options, node)
{
}

std::vector<Route> AdministrationApi::routes()
{
    using httplib::Request;
    using httplib::Response;
    using security::Operator;
    using security::OperatorRole;
    return {
        {"POST", "/v1/tickets", OperatorRole::File,
         [this](const Operator &by, const Request &call, Response &response) {
             fileTicket(by, call, response);
         }},
        {"POST", "/v1/tickets/check", OperatorRole::File,
         [this](const Operator &, const Request &call, Response &response) {
             checkTicket(call, response);
         }},
        {"GET", "/v1/tickets", OperatorRole::View,
         [this](const Operator &, const Request &call, Response &response) {
             listTickets(call, response);
         }},
        {"GET", "/v1/tickets/{number}", OperatorRole::View,
         [this](const Operator &, const Request &call, Response &response) {
             showTicket(call, response);
         }},
        {"GET", "/v1/status", OperatorRole::View,
         [this](const Operator &, const Request &, Response &response) {
             status(response);
         }},
        {"GET", "/v1/audit", OperatorRole::View,
         [this](const Operator &, const Request &call, Response &response) {
             audit(call, response);
         }},
        {"GET", "/metrics", OperatorRole::View,
         [this](const Operator &, const Request &, Response &response) {
             response.set_content(m_counters.exposition(), "text/plain; version=0.0.4");
         }},
    };
}

void AdministrationApi::addRoutes(httplib::Server &server)
{
    for (const Route &route : routes()) {
        const auto handler = [this, route](const httplib::Request &call, httplib::Response &response) {
            guarded(route, call, response);
        };
        if (route.method == "POST") {
            server.Post(patternOf(route.path), handler);
        } else {
            server.Get(patternOf(route.path), handler);
        }
    }
}

void AdministrationApi::guarded(const Route &route, const httplib::Request &call, httplib::Response &response)
{
    const auto key = bearerOf(call);
    const auto by = key ? security::findOperator(*m_credentials.current(), *key) : std::nullopt;
    if (!by) {
        m_counters.add(Counter::CredentialsRefused);
        noteRefusal(route, call, {}, key ? "the credential is not valid" : "the credential is missing");
        replyError(response, 401, "denied", "the credential is missing or not valid");
        return;
    }
    if (by->role < route.role) {
        m_counters.add(Counter::RolesRefused);
        noteRefusal(route, call, by->name, "the role does not allow it");
        replyError(response, 403, "denied",
                   "the role " + std::string(nameOf(security::OperatorRoleNames, by->role)) + " does not allow this");
        return;
    }
    route.handler(*by, call, response);
}

void AdministrationApi::noteRefusal(const Route &route, const httplib::Request &call, const std::string &by,
                                    const std::string &reason)
{
    if (route.role == security::OperatorRole::View) {
        return;
    }
    m_refused.note(
        {.reason = reason, .operatorName = by, .peer = call.remote_addr, .route = route.method + " " + route.path},
        wallMillis());
}

void AdministrationApi::fileTicket(const security::Operator &by, const httplib::Request &call,
                                   httplib::Response &response)
{
    const auto ticket = configuration::ticketFromJson(call.body);
    if (!ticket) {
        m_counters.add(Counter::InputsRefused);
        replyFailure(response, 400, ticket.error());
        return;
    }
    const Filing filing = m_desk.file(*ticket, by.name);
    switch (filing.outcome) {
    case FilingOutcome::Accepted:
        replyFiled(*ticket, response);
        return;
    case FilingOutcome::Refused:
        replyError(response, 409, nameOf(ErrorCodeNames, ErrorCode::Conflict), filing.message);
        return;
    case FilingOutcome::CheckFailed:
        replyJson(response, 422,
                  {{"error",
                    {{"code", nameOf(ErrorCodeNames, ErrorCode::InvalidArgument)},
                     {"message", filing.message},
                     {"refusals", toJson(filing.refusals)}}}});
        return;
    case FilingOutcome::Unavailable:
        replyError(response, 503, nameOf(ErrorCodeNames, ErrorCode::Unavailable), filing.message);
        return;
    case FilingOutcome::Unknown:
        replyError(response, 504, nameOf(ErrorCodeNames, ErrorCode::OutcomeUnknown), filing.message);
        return;
    }
}

void AdministrationApi::checkTicket(const httplib::Request &call, httplib::Response &response)
{
    const auto ticket = configuration::ticketFromJson(call.body);
    if (!ticket) {
        m_counters.add(Counter::InputsRefused);
        replyFailure(response, 400, ticket.error());
        return;
    }
    const auto refusals = m_desk.check(*ticket);
    replyJson(response, 200,
              {{"number", ticket->number},
               {"content", toHex(configuration::contentDigest(*ticket))},
               {"fileable", refusals.empty()},
               {"refusals", toJson(refusals)}});
}

/// Answers with the audit entry of an accepted ticket.
void AdministrationApi::replyFiled(const configuration::Ticket &ticket, httplib::Response &response) const
{
    const auto state = m_node.state();
    const AuditEntry *entry = configuration::findAccepted(*state, ticket.number);
    const std::string content = toHex(configuration::contentDigest(ticket));
    // The trail of accepted tickets is shorter than the list of their contents.
    const json brief{{"number", ticket.number}, {"content", content}, {"accepted", true}};
    replyJson(response, 200, entry != nullptr ? toJson(*entry) : brief);
}

void AdministrationApi::listTickets(const httplib::Request &call, httplib::Response &response) const
{
    const auto query = pageQueryFrom(call);
    if (!query) {
        replyFailure(response, 400, query.error());
        return;
    }
    std::vector<AuditEntry> accepted;
    const auto state = m_node.state();
    std::copy_if(state->audit.begin(), state->audit.end(), std::back_inserter(accepted),
                 [](const AuditEntry &entry) { return entry.accepted; });
    const auto numberOf = [](const AuditEntry &entry) {
        return entry.number;
    };
    const auto page = pageOf<AuditEntry>(accepted, *query, numberOf);
    replyJson(response, 200, pageDocument("tickets", page, *query, numberOf));
}

void AdministrationApi::showTicket(const httplib::Request &call, httplib::Response &response) const
{
    const auto state = m_node.state();
    const AuditEntry *entry = configuration::findAccepted(*state, std::stoull(call.matches[1].str()));
    if (entry == nullptr) {
        replyError(response, 404, nameOf(ErrorCodeNames, ErrorCode::NotFound), "no accepted ticket has this number");
        return;
    }
    replyJson(response, 200, toJson(*entry));
}

void AdministrationApi::status(httplib::Response &response) const
{
    const auto state = m_node.state();
    const json document = m_node.withView([&](const membership::View &view) {
        return statusDocument({.vm = m_node.options().vm,
                               .domain = m_node.options().domain,
                               .state = *state,
                               .view = view,
                               .viewOptions = m_node.options().view,
                               .logReachable = m_node.isLogReachable(),
                               .logReadAt = m_node.logReadAt(),
                               .now = steadyMillis(),
                               .wallNow = wallMillis()});
    });
    replyJson(response, 200, document);
}

void AdministrationApi::audit(const httplib::Request &call, httplib::Response &response) const
{
    const auto query = pageQueryFrom(call);
    if (!query) {
        replyFailure(response, 400, query.error());
        return;
    }
    const auto offsetOf = [](const AuditEntry &entry) {
        return entry.offset;
    };
    const auto state = m_node.state();
    const auto page = pageOf<AuditEntry>(state->audit, *query, offsetOf);
    json document = pageDocument("entries", page, *query, offsetOf);
    document["refused_attempts"] = {{"vm", m_node.options().vm}, {"entries", m_refused.toJson()}};
    replyJson(response, 200, document);
}

} // namespace ibislock::entry
