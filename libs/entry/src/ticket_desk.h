// Checks and files tickets: what stands between an operator's document and the platform's log.
//
// When the answer to an append is lost, the truth is found by reading the log; until it is known, the outcome is
// unknown, never failed.
//
//     TicketDesk desk(options, node);
//     Filing filing = desk.file(ticket, "anna");

#pragma once

#include "ibislock/configuration/ticket_check.h"
#include "ibislock/entry/options.h"
#include "ibislock/node/node.h"

namespace ibislock::entry
{

/// How filing a ticket ended.
enum class FilingOutcome {
    Accepted, ///< The ticket holds its number.
    Refused, ///< Another ticket holds the number, or a lower one is free.
    CheckFailed, ///< The ticket was not filed, since a check refused it.
    Unavailable, ///< The ticket was not filed, since the log can't be reached.
    Unknown, ///< It is not known whether the ticket is in the log.
};

/// The end of filing a ticket.
struct Filing
{
    FilingOutcome outcome = FilingOutcome::Unknown;
    std::string message; ///< One sentence for the operator; empty when accepted.
    std::vector<configuration::Refusal> refusals;
};

/// Checks and files tickets. Safe from any thread.
class TicketDesk
{
public:
    TicketDesk(const EntryOptions &options, node::Node &node);

    /// Checks a ticket without filing it.
    /// @return every reason not to file it.
    std::vector<configuration::Refusal> check(const configuration::Ticket &ticket);

    /// Files a ticket, unless a check refuses it, and waits for the outcome.
    Filing file(const configuration::Ticket &ticket, const std::string &by);

private:
    Filing append(const configuration::TicketRecord &record, const Digest &content);
    Filing judged(const configuration::Ticket &ticket, const Digest &content) const;
    std::optional<std::set<std::string>> knownTargets() const;
    configuration::VersionLookup versionFacts(const std::string &model, const std::string &version) const;

    const EntryOptions &m_options;
    node::Node &m_node;
};

} // namespace ibislock::entry
