// Checks a ticket against what is known before it is filed.
//
//     std::vector<Refusal> refusals = checkTicket(ticket, state, {.vms = names, .manifests = known});
//
// The checks help the operator; they decide nothing. Only the order of the log accepts or refuses a number.

#pragma once

#include "ibislock/configuration/state.h"

#include <functional>
#include <set>

namespace ibislock::configuration
{

/// Why a ticket is not filed.
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

/// External names of the refusals.
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
    std::string message; ///< One sentence that names what is wrong.

    bool operator==(const Refusal &) const = default;
};

/// What the weight store knows of a version.
struct VersionLookup
{
    bool isKnown = true;
    Digest manifest; ///< None when the store can't be asked now.
};

/// What the checks compare a ticket with. An unset part is not checked.
struct TicketCheckContext
{
    std::optional<std::set<std::string>> targets; ///< The target VMs that are listed or report themselves.
    std::function<VersionLookup(const std::string &model, const std::string &version)> lookUpVersion;
};

/// Checks a ticket.
/// @return every reason not to file it; empty when there is none.
std::vector<Refusal> checkTicket(const Ticket &ticket, const State &state, const TicketCheckContext &facts);

/// Tells whether a name has only letters, digits, dots, dashes and underscores, and begins with a letter or digit.
/// Names become parts of URL paths.
bool isSafeName(std::string_view name);

} // namespace ibislock::configuration
