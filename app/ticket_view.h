// Tickets and the audit trail as lines for people.

#pragma once

#include <nlohmann/json.hpp>

namespace ibislock::app
{

/// Prints one line of the audit trail.
void printAuditLine(const nlohmann::json &entry);

/// Prints a ticket with its scopes.
void printTicket(const nlohmann::json &entry);

/// Prints the changes that an entry VM refused for the credential or the role.
void printRefusedAttempts(const nlohmann::json &attempts);

} // namespace ibislock::app
