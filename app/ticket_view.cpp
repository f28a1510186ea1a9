#include "ticket_view.h"

#include <iostream>

namespace ibislock::app
{

using nlohmann::json;

void printAuditLine(const json &entry)
{
    std::cout << "ticket " << entry.value("number", 0) << "  offset " << entry.value("offset", 0) << "  by "
              << entry.value("filed_by", "") << "  " << (entry.value("accepted", false) ? "accepted" : "refused");
    const std::string reason = entry.value("reason", "");
    if (!reason.empty()) {
        std::cout << ": " << reason;
    }
    std::cout << "\n";
}

void printTicket(const json &entry)
{
    printAuditLine(entry);
    for (const json &scope : entry.value("scopes", json::array())) {
        std::cout << "  " << scope.value("workspace", "") << "/" << scope.value("role", "") << " -> "
                  << scope.value("model", "") << " " << scope.value("version", "") << " on " << scope.value("vms", 0)
                  << " VMs\n";
    }
    const json inForce = entry.value("in_force_at_ms", json::object());
    for (const auto &[domain, atMs] : inForce.items()) {
        std::cout << "  in force in " << domain << " at " << atMs << " ms\n";
    }
}

void printRefusedAttempts(const json &attempts)
{
    for (const json &attempt : attempts.value("entries", json::array())) {
        const std::string by = attempt.value("operator", "");
        std::cout << "refused at " << attempts.value("vm", "") << ": " << attempt.value("route", "") << "  "
                  << (by.empty() ? "unknown operator" : by) << " from " << attempt.value("peer", "") << "  "
                  << attempt.value("reason", "") << "  " << attempt.value("count", 0) << " times\n";
    }
}

} // namespace ibislock::app
