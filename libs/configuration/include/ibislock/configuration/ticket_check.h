// Checks a ticket before it is filed, against the configuration, the known VMs and the weight store.
//
//     std::vector<Refusal> refusals = checkTicket(ticket, state, {.targets = names, .lookUpVersion = lookUp});
//
// The checks only warn the operator of mistakes. Whether a ticket is accepted depends solely on the order of the log.

#pragma once

#include "ibislock/configuration/state.h"

#include <functional>
#include <set>

namespace ibislock::configuration
{

/// The kind of a mistake for which a ticket is not filed.
enum class RefusalKind {
    NumberOutOfOrder,
    NumberTaken,
    UnknownVm,
    UnknownVersion,
    ManifestDiffers,
    NoTarget,
    VmClaimedTwice,
    BadName,
    RepeatedVm,
};

/// External names of the kinds.
inline constexpr NameTable<RefusalKind, 9> RefusalKindNames{{
    {RefusalKind::NumberOutOfOrder, "number_out_of_order"},
    {RefusalKind::NumberTaken, "number_taken"},
    {RefusalKind::UnknownVm, "unknown_vm"},
    {RefusalKind::UnknownVersion, "unknown_version"},
    {RefusalKind::ManifestDiffers, "manifest_differs"},
    {RefusalKind::NoTarget, "no_target"},
    {RefusalKind::VmClaimedTwice, "vm_claimed_twice"},
    {RefusalKind::BadName, "bad_name"},
    {RefusalKind::RepeatedVm, "repeated_vm"},
}};

/// One reason not to file a ticket.
struct Refusal
{
    RefusalKind kind = RefusalKind::BadName;
    std::string message; ///< A message for the operator that names the mistake.

    bool operator==(const Refusal &) const = default;
};

/// The result of looking up a version in the weight store.
struct VersionLookup
{
    bool isKnown = true;
    Digest manifest; ///< None if the store is currently unreachable.
};

/// What a ticket is checked against; checks for which a member is unset are skipped.
struct TicketCheckContext
{
    std::optional<std::set<std::string>> targets; ///< Target VMs that are listed by the platform or that report.
    std::function<VersionLookup(const std::string &model, const std::string &version)> lookUpVersion;
};

/// Checks a ticket.
/// @return every reason not to file the ticket; empty if there is none.
std::vector<Refusal> checkTicket(const Ticket &ticket, const State &state, const TicketCheckContext &facts);

/// Tells whether a name is safe as a segment of a URL path: it starts with a letter or digit, contains only letters,
/// digits, dots, dashes and underscores, and has at most 128 bytes.
bool isSafeName(std::string_view name);

} // namespace ibislock::configuration
