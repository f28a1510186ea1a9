#include "ticket_desk.h"

#include "ibislock/stores/weight_store_client.h"

#include <algorithm>
#include <thread>

namespace ibislock::entry
{

namespace
{

using configuration::Refusal;
using configuration::RefusalKind;
using configuration::TicketStatus;

constexpr Millis RetryInterval{100};

bool isAboutNumber(const Refusal &refusal)
{
    return refusal.kind == RefusalKind::NumberTaken || refusal.kind == RefusalKind::NumberOutOfOrder;
}

/// Tells whether the log has refused this very record.
bool isRefused(const configuration::State &state, const configuration::TicketRecord &record, const Digest &content)
{
    return std::any_of(state.audit.begin(), state.audit.end(), [&](const configuration::AuditEntry &entry) {
        return !entry.accepted && entry.number == record.ticket.number && entry.content == content
            && entry.filedBy == record.filedBy && entry.filedAtMs == record.filedAtMs;
    });
}

} // namespace

TicketDesk::TicketDesk(const EntryOptions &options, node::Node &node)
    : m_options(options)
    , m_node(node)
{
}

std::vector<Refusal> TicketDesk::check(const configuration::Ticket &ticket)
{
    configuration::TicketCheckContext facts{.targets = knownTargets(), .lookUpVersion = {}};
    if (!m_options.store.url.empty()) {
        facts.lookUpVersion = [this](const std::string &model, const std::string &version) {
            return versionFacts(model, version);
        };
    }
    return configuration::checkTicket(ticket, *m_node.state(), facts);
}

Filing TicketDesk::file(const configuration::Ticket &ticket, const std::string &by)
{
    const Digest content = configuration::contentDigest(ticket);
    TicketStatus standing = configuration::ticketStatusOf(*m_node.state(), ticket.number, content);
    if (standing == TicketStatus::TooHigh) {
        // This VM may be behind; the end of the log tells.
        const auto confirmed = m_node.confirm();
        if (!confirmed) {
            return {.outcome = FilingOutcome::Unavailable,
                    .message = "the ticket was not filed: " + confirmed.error().message};
        }
        standing = configuration::ticketStatusOf(*m_node.state(), ticket.number, content);
    }
    if (standing != TicketStatus::Next) {
        return judged(ticket, content);
    }
    auto refusals = check(ticket);
    // The number was just checked; a ticket that comes in between is left to the order of the log.
    std::erase_if(refusals, isAboutNumber);
    if (!refusals.empty()) {
        std::string message = "the ticket was not filed: " + refusals.front().message;
        return {.outcome = FilingOutcome::CheckFailed, .message = std::move(message), .refusals = std::move(refusals)};
    }
    return append({.ticket = ticket, .filedBy = by, .filedAtMs = static_cast<std::uint64_t>(wallMillis().count())},
                  content);
}

Filing TicketDesk::append(const configuration::TicketRecord &record, const Digest &content)
{
    const Millis deadline = steadyMillis() + m_options.fileTimeout;
    bool mayBeFiled = false;
    while (steadyMillis() < deadline) {
        const auto offset = m_node.append(record);
        if (!offset && offset.error().code != ErrorCode::OutcomeUnknown && !mayBeFiled) {
            return {.outcome = FilingOutcome::Unavailable,
                    .message = "the ticket was not filed: " + offset.error().message};
        }
        mayBeFiled = true;
        if (m_node.confirm()) {
            const auto state = m_node.state();
            if (configuration::ticketStatusOf(*state, record.ticket.number, content) != TicketStatus::Next
                || isRefused(*state, record, content)) {
                return judged(record.ticket, content);
            }
        }
        // The same record again does no harm: the log's readers take it for one.
        std::this_thread::sleep_for(RetryInterval);
    }
    return {.outcome = FilingOutcome::Unknown,
            .message = "it is not known whether the ticket was filed; file it again with the same content, or show it"};
}

Filing TicketDesk::judged(const configuration::Ticket &ticket, const Digest &content) const
{
    const auto state = m_node.state();
    if (configuration::ticketStatusOf(*state, ticket.number, content) == TicketStatus::Accepted) {
        return {.outcome = FilingOutcome::Accepted};
    }
    return {.outcome = FilingOutcome::Refused, .message = configuration::refusalReason(*state, ticket.number, content)};
}

/// Lists the target VMs that are known, or nothing while the platform's list has not been read.
std::optional<std::set<std::string>> TicketDesk::knownTargets() const
{
    return m_node.withView([](const membership::View &view) -> std::optional<std::set<std::string>> {
        if (view.listedAt == Millis(0)) {
            return std::nullopt;
        }
        std::set<std::string> names;
        for (const auto &[name, member] : view.members) {
            const auto kind = member.hasReport ? member.report.kind : member.listed.kind;
            if (kind == membership::VmKind::Target) {
                names.insert(name);
            }
        }
        return names;
    });
}

configuration::VersionLookup TicketDesk::versionFacts(const std::string &model, const std::string &version) const
{
    stores::WeightStoreClient store(m_options.store);
    const auto manifest = store.manifest(model, version);
    if (manifest) {
        return {.isKnown = true, .manifest = weights::rootDigest(*manifest)};
    }
    return {.isKnown = manifest.error().code != ErrorCode::NotFound, .manifest = {}};
}

} // namespace ibislock::entry
