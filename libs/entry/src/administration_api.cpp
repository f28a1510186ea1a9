#include "administration_api.h"

#include "ibislock/base/log.h"

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
                          {"vms", change.vms}});
    }
    json inForce = json::object();
    for (const configuration::InForce &it : entry.inForce) {
        inForce[it.domain] = it.atMs;
    }
    return {{"offset", entry.offset},    {"number", entry.number},         {"content", toHex(entry.content)},
            {"filed_by", entry.filedBy}, {"filed_at_ms", entry.filedAtMs}, {"accepted", entry.accepted},
            {"reason", entry.reason},    {"scopes", std::move(scopes)},    {"in_force_at_ms", std::move(inForce)}};
}

json toJson(const membership::Member &member, const membership::ViewOptions &options, Millis now)
{
    const membership::Report &report = member.report;
    json value{{"domain", member.hasReport ? report.domain : member.listed.domain},
               {"kind", nameOf(membership::VmKindNames, member.hasReport ? report.kind : member.listed.kind)},
               {"usable", membership::isUsable(member, options, now)},
               {"listed", member.isListed}};
    if (member.hasReport) {
        value["address"] = report.address;
        value["phase"] = report.phase;
        value["ticket"] = report.ticket;
        value["serving"] = report.serving.isNone() ? "" : toHex(report.serving);
        value["running"] = report.running;
        value["log_offset"] = report.logOffset;
        value["age_ms"] = (now - member.reportedAt).count();
    }
    return value;
}

} // namespace

AdministrationApi::AdministrationApi(const EntryOptions &options, node::Node &node, Counters &counters)
    : m_options(options)
    , m_node(node)
    , m_counters(counters)
{
}

void AdministrationApi::addRoutes(httplib::Server &server)
{
    const auto route = [this](Handler handler) {
        return [this, handler](const httplib::Request &call, httplib::Response &response) {
            guarded(call, response, handler);
        };
    };
    server.Post("/v1/tickets", route(&AdministrationApi::fileTicket));
    server.Get("/v1/tickets", route(&AdministrationApi::listTickets));
    server.Get(R"(/v1/tickets/(\d{1,18}))", route(&AdministrationApi::showTicket));
    server.Get("/v1/status", route(&AdministrationApi::status));
    server.Get("/v1/audit", route(&AdministrationApi::audit));
    server.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(m_counters.exposition(), "text/plain; version=0.0.4");
    });
}

void AdministrationApi::guarded(const httplib::Request &call, httplib::Response &response, Handler handler)
{
    const auto by = bearerOf(call, m_options.operators);
    if (!by) {
        m_counters.add(Counter::CredentialsRefused);
        replyError(response, 401, "denied", "the credential is missing or not valid");
        return;
    }
    (this->*handler)(*by, call, response);
}

void AdministrationApi::fileTicket(const std::string &by, const httplib::Request &call, httplib::Response &response)
{
    const auto ticket = configuration::ticketFromJson(call.body);
    if (!ticket) {
        replyError(response, 400, nameOf(ErrorCodeNames, ticket.error().code), ticket.error().message);
        return;
    }
    const auto offset = m_node.append(configuration::TicketRecord{
        .ticket = *ticket, .filedBy = by, .filedAtMs = static_cast<std::uint64_t>(wallMillis().count())});
    if (!offset && offset.error().code != ErrorCode::OutcomeUnknown) {
        replyError(response, 503, nameOf(ErrorCodeNames, offset.error().code),
                   "the ticket was not filed: " + offset.error().message);
        return;
    }
    if (!offset || !m_node.waitForOffset(*offset, m_options.fileTimeout)) {
        replyError(response, 504, nameOf(ErrorCodeNames, ErrorCode::OutcomeUnknown),
                   "it is not known whether the ticket was filed; file it again with the same content, or show it");
        return;
    }
    replyFiled(*ticket, response);
}

void AdministrationApi::replyFiled(const configuration::Ticket &ticket, httplib::Response &response) const
{
    const auto state = m_node.state();
    const Digest content = configuration::contentDigest(ticket);
    if (configuration::standingOf(*state, ticket.number, content) == configuration::Standing::Accepted) {
        const AuditEntry *winner = configuration::findAccepted(*state, ticket.number);
        replyJson(response, 200,
                  winner != nullptr ? toJson(*winner)
                                    : json{{"number", ticket.number}, {"content", toHex(content)}, {"accepted", true}});
        return;
    }
    replyError(response, 409, nameOf(ErrorCodeNames, ErrorCode::Conflict),
               configuration::refusalReason(*state, ticket.number, content));
}

void AdministrationApi::listTickets(const std::string &, const httplib::Request &, httplib::Response &response)
{
    json tickets = json::array();
    for (const AuditEntry &entry : m_node.state()->audit) {
        if (entry.accepted) {
            tickets.push_back(toJson(entry));
        }
    }
    replyJson(response, 200, {{"tickets", std::move(tickets)}});
}

void AdministrationApi::showTicket(const std::string &, const httplib::Request &call, httplib::Response &response)
{
    const auto state = m_node.state();
    const AuditEntry *entry = configuration::findAccepted(*state, std::stoull(call.matches[1].str()));
    if (entry == nullptr) {
        replyError(response, 404, nameOf(ErrorCodeNames, ErrorCode::NotFound), "no accepted ticket has this number");
        return;
    }
    replyJson(response, 200, toJson(*entry));
}

void AdministrationApi::status(const std::string &, const httplib::Request &, httplib::Response &response)
{
    const auto state = m_node.state();
    const Millis now = steadyMillis();
    json scopes = json::array();
    for (const auto &[key, scope] : state->scopes) {
        scopes.push_back({{"workspace", key.workspace},
                          {"role", key.role},
                          {"ticket", scope.ticket},
                          {"model", scope.current.model},
                          {"version", scope.current.version},
                          {"manifest", scope.current.manifest.isNone() ? "" : toHex(scope.current.manifest)},
                          {"vms", scope.current.vms}});
    }
    const json vms = m_node.withView([&](const membership::View &view) {
        json members = json::object();
        for (const auto &[vm, member] : view.members) {
            members[vm] = toJson(member, m_node.options().view, now);
        }
        return members;
    });
    replyJson(response, 200,
              {{"vm", m_node.options().vm},
               {"domain", m_node.options().domain},
               {"log_offset", state->next},
               {"log_reachable", m_node.isLogReachable()},
               {"last_ticket", state->lastTicket},
               {"state_digest", toHex(configuration::stateDigest(*state))},
               {"scopes", std::move(scopes)},
               {"vms", vms}});
}

void AdministrationApi::audit(const std::string &, const httplib::Request &, httplib::Response &response)
{
    json entries = json::array();
    for (const AuditEntry &entry : m_node.state()->audit) {
        entries.push_back(toJson(entry));
    }
    replyJson(response, 200, {{"entries", std::move(entries)}});
}

} // namespace ibislock::entry
